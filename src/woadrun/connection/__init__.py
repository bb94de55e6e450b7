"""Clients of external systems and peers, and the messages between daemons."""
