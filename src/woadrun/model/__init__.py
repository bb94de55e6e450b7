"""Simulation of engines, workloads and scheduling policies."""
