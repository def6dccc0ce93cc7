"""Follows the tables of the store and announces this router there."""

import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import curio

from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.snapshots import Snapshot
from dotterelhatch.platform.documents import (
    decode_routing_table,
    decode_targets,
)
from dotterelhatch.platform.mirror import TableMirror
from dotterelhatch.platform.store import HistoryExpiredError, Store, StoreError

__all__ = ('RouterDiscovery', 'StoreWatcher', 'long_poll_seconds')

_LOGGER: Final = logging.getLogger(__name__)
# A call that brings no change ends after this time, which bounds how long a
# connection that went silent is waited for. Changes that it hides are fetched
# from peers meanwhile.
_WAIT_SECONDS: Final = 3.0
# In a large fleet some router's call ends soon, and the others learn from its
# heartbeat. Calls are priced, and the history of the store has to outlast them.
_WAIT_PER_ROUTER_SECONDS: Final = 0.3
_LONGEST_WAIT_SECONDS: Final = 10.0
# Calls to the store are priced, and entries of servers change in groups: at a
# start, a release, and when they return after an outage. A tenth of the time in
# which a leaving server has to be left alone.
_GROUP_SECONDS: Final = 0.2
_FIRST_PAUSE_SECONDS: Final = 0.15
_PAUSE_LIMIT_SECONDS: Final = 0.6
_OPERATOR_TABLE: Final = 'op'
_SERVER_TABLE: Final = 'servers'
_CONFIG_KEY: Final = 'config'
_ROUTER_TABLE: Final = 'dotterelhatch-routers'
# Routers find one another by heartbeats; the table is for those that start
# while none of their seeds is left.
_ANNOUNCE_SECONDS: Final = 5.0
# Between two reads of a router that hears others.
_REVIEW_SECONDS: Final = 20.0
# A router whose heartbeats have stopped for so long is not coming back under
# the same row.
_STALE_READS_COUNT: Final = 6


def long_poll_seconds(routers_count: int) -> float:
    """Return how long a call for changes waits.

    :param routers_count: routers that tell each other what they read.
    """
    shared_seconds = _WAIT_PER_ROUTER_SECONDS * routers_count
    return min(_LONGEST_WAIT_SECONDS, max(_WAIT_SECONDS, shared_seconds))


class StoreWatcher:
    """Keeps the routing table and the targets of a gateway up to date.

    :param store: the source.
    :param gateway: gets what was read, and passes it on to its peers.
    """

    def __init__(self, store: Store, gateway: Gateway) -> None:
        """Register for documents that peers pass on."""
        self._store = store
        self._gateway = gateway
        self._regained_seconds: float | None = None
        self._mirrors = {
            name: TableMirror(name) for name in (_OPERATOR_TABLE, _SERVER_TABLE)
        }
        gateway.snapshot_store.subscribe(_OPERATOR_TABLE, self._apply_operator)
        gateway.snapshot_store.subscribe(_SERVER_TABLE, self._apply_servers)

    async def watch_config(self) -> None:
        """Follow what the operator writes."""
        await self._follow(self._mirrors[_OPERATOR_TABLE])

    async def watch_targets(self) -> None:
        """Follow the entries of the servers."""
        await self._follow(self._mirrors[_SERVER_TABLE])

    async def _follow(self, mirror: TableMirror) -> None:
        progress = _Progress(mirror)
        while True:
            try:
                await self._step(progress)
            except StoreError as error:
                self._note_failed(progress, error)
                await curio.sleep(progress.pause_seconds)
                progress.pause_seconds = min(
                    _PAUSE_LIMIT_SECONDS, 2 * progress.pause_seconds
                )
            else:
                self._note_answered(progress)

    async def _step(self, progress: '_Progress') -> None:
        """Read the table, or its changes, once."""
        mirror = progress.mirror
        is_complete = progress.since is None
        if progress.since is None:
            page = await self._store.read_table(mirror.name)
            if not mirror.replace(page):
                raise StoreError('the answer is older than what is known')
        else:
            state = self._gateway.state
            peers_count = len(state.peers.live(state.clock()))
            wait_seconds = long_poll_seconds(peers_count + 1)
            if progress.is_lost:
                wait_seconds = 0
            page = await self._store.read_changes(
                mirror.name, progress.since, wait_seconds
            )
            mirror.apply(page)
        progress.since = page.version
        if progress.is_lost and mirror.name == _SERVER_TABLE:
            self._regained_seconds = self._gateway.state.clock()
        self._gateway.on_source_answer(mirror.name)
        if is_complete or page.rows:
            await self._gateway.snapshot_store.offer(mirror.snapshot())
            if mirror.name == _SERVER_TABLE:
                await curio.sleep(_GROUP_SECONDS)

    def _note_failed(self, progress: '_Progress', error: StoreError) -> None:
        if isinstance(error, HistoryExpiredError):
            progress.since = None
        if progress.is_lost:
            return
        progress.is_lost = True
        mirror = progress.mirror
        self._gateway.state.metrics.source_up.labels(mirror.name).set(0)
        log_decision(
            Decision.DEPENDENCY_LOST,
            dependency='store',
            document=mirror.name,
            version=mirror.version,
            reason=str(error),
        )

    def _note_answered(self, progress: '_Progress') -> None:
        progress.pause_seconds = _FIRST_PAUSE_SECONDS
        mirror = progress.mirror
        self._gateway.state.metrics.source_up.labels(mirror.name).set(1)
        if not progress.is_lost:
            return
        progress.is_lost = False
        log_decision(
            Decision.DEPENDENCY_REGAINED,
            dependency='store',
            document=mirror.name,
            version=mirror.version,
        )

    async def _apply_operator(self, snapshot: Snapshot) -> None:
        mirror = self._take(snapshot)
        for row in mirror.rows:
            if row.key != _CONFIG_KEY or row.content is None:
                continue
            try:
                table = decode_routing_table(row.content)
            except ValueError as error:
                _LOGGER.error('configuration not applied: %s', error)
                continue
            self._gateway.state.apply_table(table)

    async def _apply_servers(self, snapshot: Snapshot) -> None:
        mirror = self._take(snapshot)
        self._gateway.state.apply_targets(
            decode_targets(mirror.rows), self._regained_seconds
        )

    def _take(self, snapshot: Snapshot) -> TableMirror:
        mirror = self._mirrors[snapshot.name]
        if snapshot.version > mirror.version:
            mirror.restore(snapshot)
        return mirror


@dataclass
class _Progress:
    """How far a table was followed.

    :param since: version to go on from, None to read the whole table.
    :param is_lost: whether the last call failed.
    """

    mirror: TableMirror
    since: int | None = None
    is_lost: bool = False
    pause_seconds: float = _FIRST_PAUSE_SECONDS


class RouterDiscovery:
    """Writes where this router is, and reads where the others are.

    :param store: holds a row for each router.
    :param gateway: the router.
    """

    def __init__(self, store: Store, gateway: Gateway) -> None:
        """Start unannounced."""
        self._store = store
        self._gateway = gateway
        self._is_announced = False
        self._silent_reads: dict[str, int] = {}

    async def run(self) -> None:
        """Announce the router and look for others from time to time."""
        # Routers that start together find each other in the second read.
        await self._attempt(self._update)
        while True:
            await curio.sleep(_ANNOUNCE_SECONDS)
            await self._attempt(self._update)
            if self._gateway.state.peers.live(self._gateway.state.clock()):
                await curio.sleep(_REVIEW_SECONDS - _ANNOUNCE_SECONDS)

    async def unregister(self) -> None:
        """Remove the row of this router."""
        await self._attempt(self._remove_own)

    async def _attempt(self, work: Callable[[], Awaitable[None]]) -> None:
        try:
            await work()
        except StoreError as error:
            _LOGGER.info('router table not reached: %s', error)

    async def _update(self) -> None:
        settings = self._gateway.settings
        if not self._is_announced:
            content = json.dumps({'heartbeat': settings.heartbeat_address})
            await self._store.write_row(
                _ROUTER_TABLE, settings.router_id, content.encode()
            )
            self._is_announced = True
        page = await self._store.read_table(_ROUTER_TABLE)
        state = self._gateway.state
        now_seconds = state.clock()
        live = {peer.router for peer in state.peers.live(now_seconds)}
        live.add(settings.router_id)
        for row in page.rows:
            if row.key in live:
                self._silent_reads.pop(row.key, None)
                continue
            silent_count = self._silent_reads.get(row.key, 0) + 1
            self._silent_reads[row.key] = silent_count
            if silent_count > _STALE_READS_COUNT:
                await self._store.remove_row(
                    _ROUTER_TABLE, row.key, row.version
                )
            else:
                address = _heartbeat_address(row.content or b'')
                state.peers.add_addresses(address, now_seconds)

    async def _remove_own(self) -> None:
        settings = self._gateway.settings
        page = await self._store.read_table(_ROUTER_TABLE)
        for row in page.rows:
            if row.key == settings.router_id:
                await self._store.remove_row(
                    _ROUTER_TABLE, row.key, row.version
                )


def _heartbeat_address(content: bytes) -> list[str]:
    try:
        address = json.loads(content)['heartbeat']
    except (ValueError, KeyError, TypeError) as error:
        _LOGGER.warning('ignored a row of the router table: %r', error)
        return []
    return [address] if isinstance(address, str) else []
