"""Runs the command line program as a module."""

from dotterelhatch.cli import app

__all__ = ()

app()
