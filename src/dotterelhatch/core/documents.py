"""Order of the states of a document that a source gives out."""

from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.reported import Era, Revision

__all__ = ('UNKNOWN_ERA', 'DocumentPoint')

# Builds that know no eras say nothing of them.
UNKNOWN_ERA: Final = -1


@dataclass(frozen=True, order=True, slots=True)
class DocumentPoint:
    """A point in the history of a document; the greater one is newer.

    A source may come back from an older copy of itself. What it wrote after
    that copy is gone then, and its versions are given out again.

    :param revision: counted by the author of the document, who never takes one
        back; 0 for documents without.
    :param era: of the source, rises each time that it comes back from a copy.
    :param version: given by the source, rises with each change in an era.
    """

    revision: Revision = 0
    era: Era = UNKNOWN_ERA
    version: int = -1
