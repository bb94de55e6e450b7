"""The handling of single requests of callers."""
