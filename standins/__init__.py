"""Simulated external systems (stand-ins) for demos, tests and benchmarks."""
