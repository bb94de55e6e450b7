"""The users' platform: its names, formats and calls, decoded once.

Nothing here decides; nothing outside this package knows its names.
"""
