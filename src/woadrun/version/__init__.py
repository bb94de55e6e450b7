"""Versioned state: rosters, tables, programs, budgets and instances."""
