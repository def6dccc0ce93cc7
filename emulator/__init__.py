"""Emulator of engines and callers on a virtual clock.

It drives the decision classes of the gateway with load patterns. No sockets
are opened, and a minute of load takes about a second.
"""
