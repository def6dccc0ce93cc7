"""Filters of the request pipeline, one per module."""
