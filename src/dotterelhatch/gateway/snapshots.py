"""Versioned documents that routers replicate from peers.

A router that has not received a version from the source in time fetches it
from a peer.
"""

import logging
import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace
from typing import Final
from urllib.parse import parse_qs, urlsplit

from dotterelhatch.core.documents import UNKNOWN_ERA, DocumentPoint
from dotterelhatch.ids import RouterId
from dotterelhatch.net.http import (
    Headers,
    HttpError,
    Response,
    ServerExchange,
    fetch,
)

__all__ = (
    'InvalidSnapshotError',
    'Snapshot',
    'SnapshotServer',
    'SnapshotStore',
    'fetch_snapshot',
)

_LOGGER: Final = logging.getLogger(__name__)
_PATH: Final = '/snapshots'
_VERSION_HEADER: Final = 'X-Snapshot-Version'
_REVISION_HEADER: Final = 'X-Snapshot-Revision'
_ERA_HEADER: Final = 'X-Snapshot-Era'
_FETCH_TIMEOUT_SECONDS: Final = 1.0
_MAX_SNAPSHOT_BYTES: Final = 16_777_216
# Fits into 64 bits, as the version is a field of heartbeats.
_VERSION_PATTERN: Final = re.compile('[0-9]{1,18}')
_OK: Final = 200
_NOT_FOUND: Final = 404


class InvalidSnapshotError(ValueError):
    """The content of a snapshot can't be decoded."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One version of a document.

    :param version: increases with every change at the source in one era.
    :param revision: see :class:`DocumentPoint`.
    :param era: of the source.
    """

    name: str
    version: int
    content: bytes
    revision: int = 0
    era: int = UNKNOWN_ERA

    @property
    def point(self) -> DocumentPoint:
        """Return the point in the history of the document."""
        return DocumentPoint(self.revision, self.era, self.version)


Subscriber = Callable[[Snapshot], Awaitable[None]]


class SnapshotStore:
    """Newest snapshot of each document; an older one never replaces it."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._snapshots: dict[str, Snapshot] = {}
        self._points: dict[str, DocumentPoint] = {}
        self._first_eras: dict[str, int] = {}
        self._subscribers: dict[str, Subscriber] = {}

    def subscribe(self, name: str, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each new content of a document.

        It raises InvalidSnapshotError for content that must not be stored.
        """
        self._subscribers[name] = subscriber

    def versions(self) -> dict[str, int]:
        """Return the version of each document."""
        return {
            name: snapshot.version for name, snapshot in self._snapshots.items()
        }

    def points(self) -> Mapping[str, DocumentPoint]:
        """Return the point of each document in its history."""
        return self._points

    def complete(
        self, points: Mapping[str, DocumentPoint]
    ) -> dict[str, DocumentPoint]:
        """Return the points of a peer, with eras where its build knows none.

        Its version counts as one of the first era that was known here: it may
        have been given out before the source came back from a copy.
        """
        return {
            name: self._with_era(name, point) for name, point in points.items()
        }

    def get(self, name: str) -> Snapshot | None:
        """Return the newest snapshot of a document."""
        return self._snapshots.get(name)

    async def put_if_newer(self, snapshot: Snapshot) -> bool:
        """Store a snapshot if it is newer; return whether it was stored.

        The subscriber is called only if the content or its era has changed.
        """
        known = self._snapshots.get(snapshot.name)
        point = self._with_era(snapshot.name, snapshot.point)
        if known is not None and known.point >= point:
            return False
        snapshot = replace(snapshot, revision=point.revision, era=point.era)
        if (
            known is None
            or known.content != snapshot.content
            or known.era != snapshot.era
        ):
            if not await self._apply(snapshot):
                return False
            # The subscriber may have stored a newer one meanwhile.
            known = self._snapshots.get(snapshot.name)
            if known is not None and known.point >= snapshot.point:
                return False
        self._snapshots[snapshot.name] = snapshot
        # Heartbeats on their way to the encoder keep the former points.
        self._points = {**self._points, snapshot.name: snapshot.point}
        self._first_eras.setdefault(snapshot.name, snapshot.era)
        return True

    def _with_era(self, name: str, point: DocumentPoint) -> DocumentPoint:
        known = self._snapshots.get(name)
        if known is None or point.era != UNKNOWN_ERA:
            return point
        era = self._first_eras[name]
        return DocumentPoint(known.revision, era, point.version)

    async def _apply(self, snapshot: Snapshot) -> bool:
        subscriber = self._subscribers.get(snapshot.name)
        if subscriber is None:
            return False
        try:
            await subscriber(snapshot)
        except InvalidSnapshotError as error:
            _LOGGER.warning(
                'ignored a malformed snapshot',
                extra={
                    'snapshot': snapshot.name,
                    'version': snapshot.version,
                    'reason': str(error),
                },
            )
            return False
        return True


class SnapshotServer:
    """HTTP handler of the control address, serves snapshots to peers."""

    def __init__(self, snapshot_store: SnapshotStore) -> None:
        """Store the source of the snapshots."""
        self._snapshot_store = snapshot_store

    async def __call__(self, exchange: ServerExchange) -> None:
        """Handle ``GET /snapshots?name=NAME``."""
        parts = urlsplit(exchange.head.path)
        name = parse_qs(parts.query).get('name', [''])[0]
        snapshot = (
            self._snapshot_store.get(name) if parts.path == _PATH else None
        )
        if snapshot is None:
            await exchange.send(Response(_NOT_FOUND, (), b''))
            return
        headers: Headers = (
            (_VERSION_HEADER, str(snapshot.version)),
            (_REVISION_HEADER, str(snapshot.revision)),
        )
        if snapshot.era != UNKNOWN_ERA:
            headers += ((_ERA_HEADER, str(snapshot.era)),)
        await exchange.send(Response(_OK, headers, snapshot.content))


async def fetch_snapshot(
    router: RouterId, address: str, name: str
) -> Snapshot | None:
    """Fetch the snapshot of a document from a peer; return None on failure."""
    try:
        response = await fetch(
            address,
            'GET',
            f'{_PATH}?name={name}',
            timeout_seconds=_FETCH_TIMEOUT_SECONDS,
            max_body_bytes=_MAX_SNAPSHOT_BYTES,
        )
    except HttpError as error:
        _LOGGER.warning(
            'could not fetch a snapshot from a peer',
            extra={'peer': router, 'snapshot': name, 'reason': str(error)},
        )
        return None
    version = _number(response, _VERSION_HEADER)
    if response.status != _OK or version is None:
        return None
    return Snapshot(
        name,
        version,
        response.body,
        _number(response, _REVISION_HEADER) or 0,
        _era(response),
    )


def _era(response: Response) -> int:
    era = _number(response, _ERA_HEADER)
    return UNKNOWN_ERA if era is None else era


def _number(response: Response, name: str) -> int | None:
    text = response.header(name) or ''
    return int(text) if _VERSION_PATTERN.fullmatch(text) else None
