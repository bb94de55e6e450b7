"""Adapters for the users' platform: its names, formats and calls.

The package only translates and holds no policy.  No other package uses names
of the platform.
"""
