"""Benchmarks and the load and baseline policies that they use."""
