"""Randomized soak test that injects faults into running router processes."""
