"""Launcher of a local fleet, load generator and demonstration."""
