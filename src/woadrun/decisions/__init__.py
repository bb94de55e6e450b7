"""Admission, routing and scheduling policies as functions without I/O."""
