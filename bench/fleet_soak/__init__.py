"""A soak of daemons on the platform: real processes under random faults."""
