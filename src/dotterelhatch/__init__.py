"""Router fleet that shares targets fairly among organisations."""

from dotterelhatch.version import VERSION as __version__

__all__ = ('__version__',)
