"""The gateway process: owns all parts and runs them."""

import logging
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Final, Self

import curio

from dotterelhatch.core.peers import (
    Heartbeat,
    WindowTotals,
    heartbeat_interval_seconds,
)
from dotterelhatch.gateway.crashes import CrashProber
from dotterelhatch.gateway.decisions import (
    Decision,
    NonBlockingHandler,
    log_decision,
)
from dotterelhatch.gateway.heartbeats import HeartbeatSocket, encode_heartbeat
from dotterelhatch.gateway.metrics import MetricsHandler
from dotterelhatch.gateway.requests import GatewayHandler
from dotterelhatch.gateway.settings import GatewaySettings
from dotterelhatch.gateway.snapshots import (
    SnapshotServer,
    SnapshotStore,
    fetch_snapshot,
)
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import WireFormat
from dotterelhatch.ids import (
    FailureDomain,
    Fingerprint,
    Incarnation,
    RouterId,
)
from dotterelhatch.net.http import HttpLimits, HttpServer
from dotterelhatch.net.targets import PoolLimits, TargetClient

__all__ = ('Gateway',)

_LOGGER: Final = logging.getLogger(__name__)
_MILLISECONDS: Final = 1000
# A document that a peer has newer for this long is fetched from the peer; the
# source brings a change within milliseconds when it works.
_BEHIND_SECONDS: Final = 0.5
_UPKEEP_SECONDS: Final = 0.5
# Longest wait between two steps of the upkeep that is not a frozen process.
_CLOCK_GAP_SECONDS: Final = 2.0
# Targets close idle connections after a time that they state; a connection
# that has been idle for longer than this is not worth the risk.
_POOL_IDLE_SECONDS: Final = 4.0
_POOL_PER_TARGET_COUNT: Final = 16
# Callers reuse connections that were idle for most of the configured time.
_CALLER_IDLE_SECONDS: Final = 30.0
_DESCRIPTORS_FOR_CALLERS: Final = 0.6
# Memory of an open connection with its buffers, an estimate for the limit.
_CONNECTION_BYTES: Final = 32 * 1024
_MEMORY_FOR_CONNECTIONS: Final = 0.25
_LAST_MARGIN_SECONDS: Final = 0.6
_ADDRESSES_COUNT: Final = 64
# Covers an answer that was on its way when the router began to leave. Callers
# that keep it longer meet a refused connection and take another address; a
# request that is taken later might not end within the grace period.
_ANSWER_DELAY_SECONDS: Final = 0.3
_HEARTBEAT_ADDRESSES_COUNT: Final = 8
# Windows are 2.5 s and longer, and reports count for 2 s, so several of them
# may be lost.
_TOTALS_SECONDS: Final = 0.2


class Gateway:
    """One gateway process, a context manager that owns all its parts.

    :param settings: of this process.
    :param wire: translates heads of callers and targets.
    :param log_handler: of which dropped lines are reported.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        wire: WireFormat,
        log_handler: NonBlockingHandler | None = None,
    ) -> None:
        """Build the parts without opening anything."""
        self.settings = settings
        self.state = GatewayState(settings, random.Random())
        self.snapshot_store = SnapshotStore()
        self._log_handler = log_handler
        self._incarnation = Incarnation(int(time.time() * _MILLISECONDS))
        self._sequence = 0
        self._totals_due_seconds = 0.0
        self._behind_since: dict[str, float] = {}
        self._live_routers: frozenset[RouterId] = frozenset()
        self._targets = TargetClient(
            PoolLimits(
                idle_seconds=_POOL_IDLE_SECONDS,
                per_target_count=_POOL_PER_TARGET_COUNT,
                request_id_header=wire.request_id_header,
                accepts_close_delimited=True,
            )
        )
        self._crash_prober = CrashProber(self.state)
        self._heartbeats = HeartbeatSocket(
            settings.heartbeat_address, self._on_heartbeat
        )
        self._callers = HttpServer(
            settings.caller_address,
            GatewayHandler(self.state, wire, self._targets, self._crash_prober),
            _caller_limits(settings),
            render_error=wire.render_error,
        )
        self._servers = (
            HttpServer(
                settings.control_address, SnapshotServer(self.snapshot_store)
            ),
            HttpServer(
                settings.metrics_address,
                MetricsHandler(self.state.metrics, settings.metrics_path),
            ),
        )
        self._stack = AsyncExitStack()
        self._tasks: list[curio.Task] = []

    async def __aenter__(self) -> Self:
        """Open all sockets and start the periodic tasks."""
        now_seconds = self.state.clock()
        self.state.peers.add_addresses(
            self.settings.seed_addresses, now_seconds
        )
        await self._stack.enter_async_context(self._targets)
        await self._stack.enter_async_context(self._heartbeats)
        for server in self._servers:
            await self._stack.enter_async_context(server)
        await self._stack.enter_async_context(self._callers)
        for work in (
            self._beat_always,
            self._keep_up,
            self.state.lag.measure_forever,
        ):
            self._tasks.append(await curio.spawn(work, daemon=True))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks and close everything."""
        for task in self._tasks:
            await task.cancel()
        await self._stack.aclose()

    def caller_addresses(self, failure_domain: FailureDomain) -> list[str]:
        """Return where callers can send requests, near ones first.

        :param failure_domain: of the caller.
        """
        peers = self.state.peers.advertised(self.state.clock())
        routers = [self._heartbeat_facts(), *peers]
        named = [one for one in routers if one.is_ready]
        if not named:
            # All routers leave at the same time; some still take requests.
            named = [one for one in routers if one.is_accepting]
        named.sort(
            key=lambda one: (
                one.failure_domain != failure_domain,
                one.caller_address,
            )
        )
        return [one.caller_address for one in named[:_ADDRESSES_COUNT]]

    def on_source_answer(self, document: str) -> None:
        """Note that the source of a document has answered."""
        self.state.source_answer_seconds[document] = self.state.clock()

    def reload(self, settings: GatewaySettings) -> None:
        """Take over the settings that can change in a running process."""
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        log_decision(Decision.RELOADED, outcome='applied', changed=changed)
        self.settings = settings
        self.state.reload(settings)

    async def leave(self) -> None:
        """Stop gracefully; return when the process may end."""
        leaving = self.settings.leaving
        started_seconds = self.state.clock()
        self.state.is_leaving = True
        log_decision(
            Decision.LEAVING, requests_count=self._callers.exchanges_count
        )
        self._callers.announce_close()
        await self._beat()
        last_seconds = leaving.limit_seconds - _LAST_MARGIN_SECONDS
        await curio.sleep(
            min(
                leaving.address_ttl_seconds + _ANSWER_DELAY_SECONDS,
                last_seconds,
            )
        )
        self.state.is_accepting = False
        await self._beat()
        await self._callers.stop_accepting()
        remaining = last_seconds - (self.state.clock() - started_seconds)
        await curio.ignore_after(max(0, remaining), self._callers.drain)
        log_decision(
            Decision.STOPPED, requests_count=self._callers.exchanges_count
        )

    async def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        state = self.state
        now_seconds = state.clock()
        if not state.peers.on_heartbeat(heartbeat, now_seconds):
            return
        state.board.on_report(heartbeat.router, heartbeat.loads, now_seconds)
        if heartbeat.totals is not None:
            state.on_totals(heartbeat.router, heartbeat.totals)
        for fingerprint, age_seconds in heartbeat.refused:
            state.refused.on_report(
                Fingerprint(fingerprint), age_seconds, now_seconds
            )
        for sent in heartbeat.sent_prompts:
            state.balancer.cache.on_sent(sent)
        for report in heartbeat.crashes:
            state.suspects.on_report(report, now_seconds)
        await self._compare_versions(heartbeat, now_seconds)

    async def _compare_versions(
        self, heartbeat: Heartbeat, now_seconds: float
    ) -> None:
        """Fetch the documents that a peer has had newer for a while."""
        own = self.snapshot_store.versions()
        for name, version in heartbeat.snapshot_versions.items():
            known = own.get(name, -1)
            if version <= known:
                continue
            since = self._behind_since.setdefault(name, now_seconds)
            if known >= 0 and now_seconds - since < _BEHIND_SECONDS:
                continue
            self._behind_since[name] = now_seconds
            await curio.spawn(self._catch_up, heartbeat, name, daemon=True)

    async def _catch_up(self, heartbeat: Heartbeat, name: str) -> None:
        snapshot = await fetch_snapshot(
            heartbeat.router, heartbeat.control_address, name
        )
        if snapshot is not None and await self.snapshot_store.offer(snapshot):
            self._behind_since.pop(name, None)
            _LOGGER.info(
                'took a document from a peer',
                extra={
                    'peer': heartbeat.router,
                    'document': name,
                    'version': snapshot.version,
                },
            )

    async def _beat_always(self) -> None:
        while True:
            await self._guard(self._beat)
            peers_count = len(self.state.peers.live(self.state.clock()))
            await curio.sleep(heartbeat_interval_seconds(peers_count))

    async def _beat(self) -> None:
        now_seconds = self.state.clock()
        datagram = encode_heartbeat(self._heartbeat(now_seconds))
        for address in self.state.peers.addresses(now_seconds):
            self._heartbeats.send(datagram, address)

    def _heartbeat(self, now_seconds: float) -> Heartbeat:
        state = self.state
        self._sequence += 1
        return replace(
            self._heartbeat_facts(),
            sequence=self._sequence,
            snapshot_versions=self.snapshot_store.versions(),
            loads=state.board.local_loads,
            totals=self._due_totals(now_seconds),
            sent_prompts=state.take_sent_prompts(),
            refused=state.refused.take_unreported(now_seconds),
            crashes=self._crash_prober.take_reports(),
            is_source_seen=state.has_source_answered(now_seconds),
            requests_per_second=state.arrivals.per_second(now_seconds),
        )

    def _due_totals(self, now_seconds: float) -> WindowTotals | None:
        if now_seconds < self._totals_due_seconds:
            return None
        self._totals_due_seconds = now_seconds + _TOTALS_SECONDS
        state = self.state
        live = state.peers.live(now_seconds)
        addresses = tuple(peer.heartbeat_address for peer in live)
        return WindowTotals(
            usages=state.shares.local_usages,
            admissions={
                service: window.local_counts(now_seconds)
                for service, window in state.admission_windows.items()
            },
            known_addresses=addresses[:_HEARTBEAT_ADDRESSES_COUNT],
        )

    def _heartbeat_facts(self) -> Heartbeat:
        """Return who and where this router is."""
        settings = self.settings
        return Heartbeat(
            router=settings.router_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            failure_domain=settings.failure_domain,
            caller_address=settings.caller_address,
            control_address=settings.control_address,
            heartbeat_address=settings.heartbeat_address,
            is_ready=self.state.is_ready,
            is_accepting=self.state.is_accepting,
            snapshot_versions={},
            loads={},
        )

    async def _keep_up(self) -> None:
        before_seconds = self.state.clock()
        while True:
            await curio.sleep(_UPKEEP_SECONDS)
            now_seconds = self.state.clock()
            gap_seconds = now_seconds - before_seconds
            if gap_seconds > _CLOCK_GAP_SECONDS:
                log_decision(Decision.CLOCK_GAP, gap_seconds=gap_seconds)
            before_seconds = now_seconds
            await self._guard(self._update)

    async def _update(self) -> None:
        state = self.state
        state.expire_targets()
        live = state.peers.live(state.clock())
        routers = frozenset(peer.router for peer in live)
        if routers != self._live_routers:
            log_decision(
                Decision.PEER_CHANGED,
                live=sorted(routers),
                lost=sorted(self._live_routers - routers),
            )
            self._live_routers = routers
        metrics = state.metrics
        metrics.loop_lag_seconds.set(state.lag.seconds)
        metrics.live_routers.set(len(routers) + 1)
        for name, version in self.snapshot_store.versions().items():
            metrics.snapshot_version.labels(name).set(version)
        if self._log_handler is not None:
            metrics.log_lines_dropped.set(self._log_handler.dropped_count)

    async def _guard(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run one step of a loop that must not end with a failed step."""
        try:
            await work()
        except Exception:
            _LOGGER.exception('a step of the gateway failed')


def _caller_limits(settings: GatewaySettings) -> HttpLimits:
    by_descriptors = settings.descriptors_limit_count * _DESCRIPTORS_FOR_CALLERS
    memory_bytes = settings.memory_limit_bytes * _MEMORY_FOR_CONNECTIONS
    connections_count = min(by_descriptors, memory_bytes / _CONNECTION_BYTES)
    return HttpLimits(
        idle_timeout_seconds=_CALLER_IDLE_SECONDS,
        max_connections_count=max(1, int(connections_count)),
    )
