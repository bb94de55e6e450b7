"""Soak test of daemons on the platform: real processes and random faults."""
