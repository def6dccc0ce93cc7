"""Version of the package; the build reads it from here."""

__all__ = ('VERSION',)

VERSION = '0.1.0'
