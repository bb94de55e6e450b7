"""A scheduler for agent programs, run as a group of identical daemons."""

__version__ = '0.1.0'
