"""Seeded fault injection into a fleet of daemons on a virtual clock."""
