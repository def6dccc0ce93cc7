"""Watches tables of the store and registers this router there."""

import json
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any, Final

import curio

from dotterelhatch.core.documents import UNKNOWN_ERA, DocumentPoint
from dotterelhatch.core.outages import SourceOutage
from dotterelhatch.core.routes import RoutingTable
from dotterelhatch.fleet import RemoteAddress
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.snapshots import InvalidSnapshotError, Snapshot
from dotterelhatch.ids import TargetId
from dotterelhatch.jsonmodel import InvalidDocumentError, JsonModel
from dotterelhatch.platform.documents import (
    configuration_version,
    decode_evacuations,
    decode_routing_table,
    decode_targets,
    operator_row_identity,
    server_start,
)
from dotterelhatch.platform.mirror import RowRules, TableMirror
from dotterelhatch.platform.store import (
    HistoryExpiredError,
    RowChange,
    RowsPage,
    Store,
    StoreError,
    StoreTimeoutError,
)

__all__ = (
    'RouterDiscovery',
    'StoreWatcher',
    'aligned_poll_seconds',
    'batch_delay_seconds',
    'long_poll_seconds',
)

_LOGGER: Final = logging.getLogger(__name__)
# A long poll without changes ends after this time, which limits how long a
# stalled connection goes unnoticed. Changes missed meanwhile are fetched from
# peers.
_MIN_LONG_POLL_SECONDS: Final = 3.0
# The store charges for each call. In a large fleet the call of some router ends
# soon, and the others learn of changes from its heartbeat, so each router may
# wait for longer and make fewer calls. The maximum keeps a call shorter than
# the time for which the store keeps its history of changes.
_LONG_POLL_PER_ROUTER_SECONDS: Final = 0.3
_MAX_LONG_POLL_SECONDS: Final = 10.0
# Server rows change in groups: at a start, at a release and after an outage.
# The delay lets one call read a whole group, because the store charges for each
# call, and all routers call at each change. In a large fleet it is longer. The
# maximum keeps it below the time after which a router fetches a newer document
# from a peer, and a small part of the time within which requests to a leaving
# server have to stop.
_MIN_BATCH_DELAY_SECONDS: Final = 0.2
_BATCH_DELAY_PER_ROUTER_SECONDS: Final = 0.0125
_MAX_BATCH_DELAY_SECONDS: Final = 0.4
_MAX_BATCH_DEPARTURE_RATIO: Final = 0.15
_MIN_BACKOFF_SECONDS: Final = 0.15
_MAX_BACKOFF_SECONDS: Final = 0.6
_OPERATOR_TABLE: Final = 'op'
_SERVER_TABLE: Final = 'servers'
_CONFIG_KEY: Final = 'config'
_ROUTER_TABLE: Final = 'dotterelhatch-routers'
# Routers discover each other by heartbeats; the table is for routers that
# start when none of their seeds exists any more.
_DISCOVERY_INTERVAL_SECONDS: Final = 5.0
# Interval of the reads while heartbeats of other routers arrive.
_REFRESH_INTERVAL_SECONDS: Final = 20.0
# A router without heartbeats for more reads than this will not return under
# the same row, so its row is removed.
_MAX_SILENT_READS_COUNT: Final = 6
_SUSPENSION_CHECK_SECONDS: Final = 0.1


def long_poll_seconds(routers_count: int) -> float:
    """Return how long a call for changes waits.

    :param routers_count: routers that share changes by heartbeats.
    """
    scaled_seconds = _LONG_POLL_PER_ROUTER_SECONDS * routers_count
    return min(
        _MAX_LONG_POLL_SECONDS, max(_MIN_LONG_POLL_SECONDS, scaled_seconds)
    )


def batch_delay_seconds(routers_count: int, departure_seconds: float) -> float:
    """Return how long a router waits for further changes of the servers.

    :param routers_count: routers that call the store at each change.
    :param departure_seconds: time after which a target that has left must get
        no requests.
    """
    scaled_seconds = min(
        _MAX_BATCH_DELAY_SECONDS,
        _BATCH_DELAY_PER_ROUTER_SECONDS * routers_count,
        _MAX_BATCH_DEPARTURE_RATIO * departure_seconds,
    )
    return max(_MIN_BATCH_DELAY_SECONDS, scaled_seconds)


def aligned_poll_seconds(routers_count: int, rng: random.Random) -> float:
    """Return how long a call waits that all routers make at the same time.

    They do so at a start and after each change. Without different lengths, all
    of the following calls would end at the same times, and between them no
    router would know that the source is up to date.

    :param routers_count: routers that share changes by heartbeats.
    """
    wait_seconds = long_poll_seconds(routers_count)
    if wait_seconds <= _MIN_LONG_POLL_SECONDS:
        return wait_seconds
    return rng.uniform(0, wait_seconds)


class _PollAbortedError(curio.TaskCancelled):  # type: ignore[misc]
    """Interrupts a call for changes without ending its task."""


class StoreWatcher:
    """Keeps the routing table and the targets of a gateway up to date.

    :param store: source of the documents.
    :param gateway: receives the documents and offers them to its peers.
    :param renewal_seconds: interval at which servers renew their rows.
    """

    def __init__(
        self, store: Store, gateway: Gateway, renewal_seconds: float
    ) -> None:
        """Subscribe to documents, which may also come from peers."""
        self._store = store
        self._gateway = gateway
        self._renewal_seconds = renewal_seconds
        self._regained_seconds: float | None = None
        self._watches: list[_WatchState] = []
        self._mirrors = {
            _OPERATOR_TABLE: TableMirror(
                _OPERATOR_TABLE,
                RowRules(configuration_version, operator_row_identity),
            ),
            _SERVER_TABLE: TableMirror(
                _SERVER_TABLE, RowRules(identity_of=server_start)
            ),
        }
        # Era of the targets in use.
        self._targets_era = UNKNOWN_ERA
        gateway.snapshot_store.subscribe(_OPERATOR_TABLE, self._apply_config)
        gateway.snapshot_store.subscribe(_SERVER_TABLE, self._apply_targets)

    async def watch_config(self) -> None:
        """Watch the configuration that the operator writes."""
        await self._watch_table(self._mirrors[_OPERATOR_TABLE])

    async def watch_targets(self) -> None:
        """Watch the rows of the servers."""
        await self._watch_table(self._mirrors[_SERVER_TABLE])

    async def abort_outdated_polls(self) -> None:
        """Call the store again after a suspension or the loss of all peers.

        A call that waits for changes since before it is answered only by the
        next change, or after a wait that relies on the calls of the peers.
        """
        while True:
            await curio.sleep(_SUSPENSION_CHECK_SECONDS)
            for table_watch in self._watches:
                if table_watch.poll and self._is_outdated(table_watch.poll):
                    await _abort_poll(table_watch)

    def _is_outdated(self, poll: '_Poll') -> bool:
        state = self._gateway.state
        if poll.called_seconds < state.confirmations.resumed_seconds:
            return True
        relies_on_peers = poll.wait_seconds > _MIN_LONG_POLL_SECONDS
        return relies_on_peers and not state.peers.live(state.clock())

    async def _watch_table(self, mirror: TableMirror) -> None:
        table_watch = _WatchState(mirror)
        self._watches.append(table_watch)
        while True:
            call = _Call(
                self._gateway.state.clock(),
                self._gateway.state.peer_answered_seconds(),
            )
            error = await self._try_read(table_watch)
            if error is None:
                self._on_read_succeeded(table_watch)
                continue
            self._on_read_failed(table_watch, error, call)
            await curio.sleep(table_watch.backoff_seconds)
            table_watch.backoff_seconds = min(
                _MAX_BACKOFF_SECONDS, 2 * table_watch.backoff_seconds
            )

    async def _try_read(self, table_watch: '_WatchState') -> Exception | None:
        """Read once; return the error.

        Nothing waits for the task, so an unforeseen error must not end it.
        """
        try:
            await self._read_once(table_watch)
        except StoreError as error:
            return error
        except Exception as unforeseen:
            _LOGGER.exception('could not apply a document of the store')
            table_watch.since = None
            return unforeseen
        return None

    async def _read_once(self, table_watch: '_WatchState') -> None:
        """Read the whole table, or wait for its changes, once."""
        mirror = table_watch.mirror
        is_whole_table = table_watch.since is None
        called_seconds = self._gateway.state.clock()
        page = await self._read_page(table_watch)
        if page is None:
            return
        table_watch.since = page.version
        table_watch.era = page.era
        table_watch.is_aligned = is_whole_table or bool(page.rows)
        self._gateway.state.metrics.malformed_inputs.labels('store').inc(
            page.malformed_count
        )
        if table_watch.outage is not None and mirror.name == _SERVER_TABLE:
            self._on_targets_regained(table_watch.outage)
        self._gateway.on_source_response(mirror.name, called_seconds)
        if is_whole_table or page.rows:
            await self._gateway.snapshot_store.put_if_newer(mirror.snapshot())
            if mirror.name == _SERVER_TABLE:
                await self._wait_for_batch()

    async def _wait_for_batch(self) -> None:
        state = self._gateway.state
        routers_count = len(state.peers.live(state.clock())) + 1
        await curio.sleep(
            batch_delay_seconds(
                routers_count, state.settings.target_departure_seconds
            )
        )

    async def _read_page(self, table_watch: '_WatchState') -> RowsPage | None:
        """Read and apply a page; return None if the call was aborted."""
        mirror = table_watch.mirror
        if table_watch.since is not None:
            page = await self._poll(table_watch, table_watch.since)
            if page is not None:
                _check_era(table_watch, page)
                mirror.apply(page)
            return page
        whole_page = await self._store.read_table(mirror.name)
        former = mirror.point
        if not mirror.replace(whole_page):
            raise StoreError('the store returned an outdated table')
        if _is_restored(former.era, mirror.era):
            await self._on_restored(mirror, former)
        return whole_page

    async def _on_restored(
        self, mirror: TableMirror, former: DocumentPoint
    ) -> None:
        """Log that the store lost changes; read the other table again."""
        log_decision(
            Decision.DEPENDENCY_RESTORED,
            dependency='store',
            document=mirror.name,
            former=asdict(former),
            current=asdict(mirror.point),
        )
        for table_watch in self._watches:
            if table_watch.mirror is not mirror:
                await _abort_poll(table_watch)

    def _on_targets_regained(self, outage: SourceOutage) -> None:
        now_seconds = self._gateway.state.clock()
        if outage.can_entries_have_expired(now_seconds, self._renewal_seconds):
            self._regained_seconds = now_seconds

    async def _poll(
        self, table_watch: '_WatchState', since: int
    ) -> RowsPage | None:
        """Wait for changes; return None if the call was aborted."""
        state = self._gateway.state
        name = table_watch.mirror.name
        peers_count = len(state.peers.live(state.clock()))
        if table_watch.is_aligned:
            wait_seconds = aligned_poll_seconds(peers_count + 1, state.rng)
        else:
            wait_seconds = long_poll_seconds(peers_count + 1)
        if table_watch.outage or state.confirmations.needs(name):
            wait_seconds = 0
        task = await curio.current_task()
        table_watch.poll = _Poll(task, state.clock(), wait_seconds)
        try:
            page = await self._store.read_changes(name, since, wait_seconds)
            await curio.check_cancellation()
        except _PollAbortedError:
            # The task goes on, so it must be cancellable again.
            task.cancelled = False
            return None
        finally:
            table_watch.poll = None
        return page

    def _on_read_failed(
        self,
        table_watch: '_WatchState',
        error: Exception,
        call: '_Call',
    ) -> None:
        if isinstance(error, HistoryExpiredError):
            # The store has answered, so this is no outage.
            table_watch.since = None
            _LOGGER.info('the whole table is read again: %s', error)
            return
        if table_watch.outage is not None:
            table_watch.outage.on_call_failed(call.peer_answered_seconds)
            return
        now_seconds = self._gateway.state.clock()
        is_timeout = isinstance(error, StoreTimeoutError)
        table_watch.outage = SourceOutage(
            now_seconds, call.made_seconds if is_timeout else now_seconds
        )
        mirror = table_watch.mirror
        self._gateway.state.metrics.source_up.labels(mirror.name).set(0)
        log_decision(
            Decision.DEPENDENCY_LOST,
            dependency='store',
            document=mirror.name,
            version=mirror.version,
            reason=str(error),
        )

    def _on_read_succeeded(self, table_watch: '_WatchState') -> None:
        table_watch.backoff_seconds = _MIN_BACKOFF_SECONDS
        mirror = table_watch.mirror
        self._gateway.state.metrics.source_up.labels(mirror.name).set(1)
        outage = table_watch.outage
        if outage is None:
            return
        table_watch.outage = None
        outage_seconds = self._gateway.state.clock() - outage.began_seconds
        log_decision(
            Decision.DEPENDENCY_REGAINED,
            dependency='store',
            document=mirror.name,
            version=mirror.version,
            source_version=table_watch.since,
            outage_seconds=round(outage_seconds, 3),
            are_others_answered=outage.are_others_answered,
        )

    async def _apply_config(self, snapshot: Snapshot) -> None:
        state = self._gateway.state
        mirror = self._restore_if_newer(snapshot)
        # Before the table, so that a router that starts uses no target of an
        # evacuated domain.
        domains, ignored_count = decode_evacuations(mirror.rows)
        state.apply_evacuations(domains, mirror.era)
        for row in mirror.rows:
            if row.key != _CONFIG_KEY or row.content is None:
                continue
            try:
                table = decode_routing_table(row.content)
            except InvalidDocumentError as error:
                ignored_count += 1
                _LOGGER.error('configuration not applied: %s', error)
                continue
            self._apply_newer_table(table)
        state.metrics.ignored_rows.labels(_OPERATOR_TABLE).set(ignored_count)
        if mirror.point > snapshot.point:
            # Only some rows of a former era were taken. Peers that follow this
            # router need the others too.
            await self._gateway.snapshot_store.put_if_newer(mirror.snapshot())

    def _apply_newer_table(self, table: RoutingTable) -> None:
        """Apply a table, unless the operator wrote a newer one before."""
        state = self._gateway.state
        if state.table is None or table.version >= state.table.version:
            state.apply_table(table)

    async def _apply_targets(self, snapshot: Snapshot) -> None:
        state = self._gateway.state
        mirror = self._restore_if_newer(snapshot)
        rows = mirror.rows
        if _is_restored(self._targets_era, mirror.era):
            # Targets that registered after the copy was made do so again.
            self._regained_seconds = state.clock()
        self._targets_era = mirror.era
        targets = decode_targets(rows)
        state.metrics.ignored_rows.labels(_SERVER_TABLE).set(
            len(rows) - len(targets)
        )
        unreadable = {TargetId(row.key) for row in rows}
        unreadable -= {target.id for target in targets}
        state.apply_targets(targets, self._regained_seconds, unreadable)

    def _restore_if_newer(self, snapshot: Snapshot) -> TableMirror:
        mirror = self._mirrors[snapshot.name]
        if snapshot.point <= mirror.point:
            return mirror
        try:
            mirror.restore(snapshot)
        except InvalidSnapshotError:
            self._gateway.state.metrics.malformed_inputs.labels(
                'snapshot'
            ).inc()
            raise
        return mirror


def _is_restored(former_era: int, era: int) -> bool:
    return era > former_era and former_era != UNKNOWN_ERA


async def _abort_poll(table_watch: '_WatchState') -> None:
    poll = table_watch.poll
    if poll is not None:
        table_watch.poll = None
        await poll.task.cancel(exc=_PollAbortedError, blocking=False)


def _check_era(table_watch: '_WatchState', page: RowsPage) -> None:
    """Check that changes follow the rows that were read before.

    :raises HistoryExpiredError: when the store came back from a copy meanwhile.
    :raises StoreError: when it has done so since it sent the changes.
    """
    known, era = table_watch.era, page.era
    if known is None or era is None or era == known:
        return
    if era < known:
        raise StoreError(f'changes of the former era {era}')
    raise HistoryExpiredError(
        f'{table_watch.mirror.name}: the store came back with era {era}'
    )


@dataclass(frozen=True, slots=True)
class _Call:
    """What was known when a call was made.

    :param peer_answered_seconds: time after which a peer was answered.
    """

    made_seconds: float
    peer_answered_seconds: float


@dataclass(frozen=True, slots=True)
class _Poll:
    """A call for changes in progress."""

    task: Any
    called_seconds: float
    wait_seconds: float


@dataclass
class _WatchState:
    """State of watching one table.

    :param since: version read last, None to read the whole table.
    :param era: of the store at that time, None if it names none.
    :param outage: the present outage, None if the last call was answered.
    :param is_aligned: whether the last call of all routers ended at the same
        time.
    :param poll: the call for changes in progress, None without one.
    """

    mirror: TableMirror
    since: int | None = None
    era: int | None = None
    outage: SourceOutage | None = None
    is_aligned: bool = True
    backoff_seconds: float = _MIN_BACKOFF_SECONDS
    poll: _Poll | None = None


class RouterDiscovery:
    """Registers this router in the store and discovers other routers.

    :param store: has a table with a row for each router.
    :param gateway: of this router; gets the addresses of the others.
    """

    def __init__(self, store: Store, gateway: Gateway) -> None:
        """Start unregistered."""
        self._store = store
        self._gateway = gateway
        self._is_registered = False
        self._silent_reads: dict[str, int] = {}

    async def run(self) -> None:
        """Register the router and read the table periodically."""
        # Routers that start at the same time may see each other only in the
        # second read.
        await self._try_call(self._refresh)
        while True:
            await curio.sleep(_DISCOVERY_INTERVAL_SECONDS)
            await self._try_call(self._refresh)
            if self._gateway.state.peers.live(self._gateway.state.clock()):
                await curio.sleep(
                    _REFRESH_INTERVAL_SECONDS - _DISCOVERY_INTERVAL_SECONDS
                )

    async def unregister(self) -> None:
        """Remove the row of this router."""
        await self._try_call(self._remove_own_row)

    async def _try_call(self, call: Callable[[], Awaitable[None]]) -> None:
        """Run a call; nothing waits for the task that an error would end."""
        try:
            await call()
        except StoreError as error:
            _LOGGER.info('call to the router table failed: %s', error)
        except Exception:
            _LOGGER.exception('could not process the router table')

    async def _refresh(self) -> None:
        settings = self._gateway.settings
        if not self._is_registered:
            content = json.dumps({'heartbeat': settings.heartbeat_address})
            await self._store.write_row(
                _ROUTER_TABLE, settings.router_id, content.encode()
            )
            self._is_registered = True
        page = await self._store.read_table(_ROUTER_TABLE)
        # A store that came back from an older copy has lost the row.
        self._is_registered = any(
            row.key == settings.router_id for row in page.rows
        )
        state = self._gateway.state
        now_seconds = state.clock()
        live = {peer.router for peer in state.peers.live(now_seconds)}
        for row in page.rows:
            if row.key == settings.router_id or row.key in live:
                self._silent_reads.pop(row.key, None)
            elif self._is_gone(row.key, bool(live)):
                await self._store.remove_row(
                    _ROUTER_TABLE, row.key, row.version
                )
            else:
                addresses = _heartbeat_address(row)
                state.peers.add_addresses(addresses, now_seconds)
                if not addresses:
                    state.metrics.malformed_inputs.labels('router_row').inc()

    def _is_gone(self, router: str, is_any_live: bool) -> bool:
        """Count a read in which a router is silent; return whether it is gone.

        A router that hears nobody may be the one that is cut off.
        """
        if not is_any_live:
            return False
        silent_count = self._silent_reads.get(router, 0) + 1
        self._silent_reads[router] = silent_count
        return silent_count > _MAX_SILENT_READS_COUNT

    async def _remove_own_row(self) -> None:
        settings = self._gateway.settings
        page = await self._store.read_table(_ROUTER_TABLE)
        for row in page.rows:
            if row.key == settings.router_id:
                await self._store.remove_row(
                    _ROUTER_TABLE, row.key, row.version
                )


class _RouterRow(JsonModel):
    heartbeat: RemoteAddress


def _heartbeat_address(row: RowChange) -> list[str]:
    try:
        return [_RouterRow.decode(row.content or b'').heartbeat]
    except InvalidDocumentError as error:
        _LOGGER.warning(
            'ignored a malformed row of the router table',
            extra={'key': row.key, 'reason': str(error)},
        )
        return []
