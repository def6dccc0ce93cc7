"""Simulation of callers, routers and model engines on a virtual clock.

It runs the sans-I/O classes of the gateway under load patterns. No sockets are
opened, and a minute of load takes about a second.
"""
