"""Command line interface of dotterelhatch."""

from dotterelhatch.cli._app import app

__all__ = ('app',)
