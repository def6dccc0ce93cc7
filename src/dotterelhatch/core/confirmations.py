"""Documents to confirm after a time in which the process did not run.

A host may be suspended, or a process may get no processor for seconds. What it
knows was true before: a key may have been taken away since, and a target may
have left. Requests therefore wait until the documents are known to be up to
date, or until a limit, after which the sources count as down.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from dotterelhatch.core.documents import DocumentPoint

__all__ = ('DocumentConfirmations',)

# A reachable source or peer answers within milliseconds.
_MAX_WAIT_SECONDS: Final = 1.0
_NO_POINT: Final = DocumentPoint()


class DocumentConfirmations:
    """Documents that are not confirmed since the process ran again."""

    def __init__(self) -> None:
        """Start with nothing to confirm."""
        self._unconfirmed: set[str] = set()
        self.resumed_seconds = -math.inf

    @property
    def is_complete(self) -> bool:
        """Return whether all documents are confirmed."""
        return not self._unconfirmed

    def on_resumed(self, documents: Iterable[str], now_seconds: float) -> None:
        """Require that documents are confirmed, as the process runs again."""
        self._unconfirmed = set(documents)
        self.resumed_seconds = now_seconds

    def needs(self, document: str) -> bool:
        """Return whether a document is not confirmed."""
        return document in self._unconfirmed

    def on_source_response(self, document: str, called_seconds: float) -> None:
        """Confirm a document by a response of its source.

        :param called_seconds: time of the call. The response to one that was
            made before may have waited in the socket.
        """
        if called_seconds >= self.resumed_seconds:
            self._unconfirmed.discard(document)

    def on_peer(
        self,
        points: Mapping[str, DocumentPoint],
        own_points: Mapping[str, DocumentPoint],
    ) -> None:
        """Confirm documents that a peer has in no newer state.

        :param points: those of a peer that is in touch with the sources.
        """
        self._unconfirmed -= {
            document
            for document in self._unconfirmed & points.keys()
            if points[document] <= own_points.get(document, _NO_POINT)
        }

    def wait_seconds(self, now_seconds: float) -> float:
        """Return how long requests wait at most for the confirmations."""
        if self.is_complete:
            return 0
        limit_seconds = self.resumed_seconds + _MAX_WAIT_SECONDS
        return max(0, limit_seconds - now_seconds)
