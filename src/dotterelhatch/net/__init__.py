"""Connections to callers, targets and other routers."""
