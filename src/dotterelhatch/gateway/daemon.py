"""Lifecycle and periodic tasks of a gateway process."""

import logging
import random
import time
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Final, Self

import curio

from dotterelhatch.core.arrivals import flooded_routers
from dotterelhatch.core.peers import (
    Heartbeat,
    ReportBudget,
    WindowTotals,
    receive_pause_seconds,
)
from dotterelhatch.gateway.heartbeatrounds import HeartbeatRounds
from dotterelhatch.gateway.crashes import CrashProber
from dotterelhatch.gateway.decisions import (
    Decision,
    NonBlockingHandler,
    log_decision,
)
from dotterelhatch.gateway.intake import GatewayIntake
from dotterelhatch.gateway.explain import EXPLAIN_PATH, ExplainHandler
from dotterelhatch.gateway.heartbeats import (
    HeartbeatSocket,
    encode_fitting_heartbeat,
)
from dotterelhatch.gateway.lag import TimedSelector
from dotterelhatch.gateway.loadreport import REPORT_INTERVAL_SECONDS
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
_MILLISECONDS_PER_SECOND: Final = 1000
# A reachable source delivers a change within milliseconds. If a peer still has
# a newer version after this time, the document is fetched from the peer.
_PEER_FETCH_DELAY_SECONDS: Final = 0.5
_MAINTENANCE_INTERVAL_SECONDS: Final = 0.5
# Targets close idle connections after a timeout that they announce. A request
# on a connection that has been idle for longer than this could be lost.
_POOL_IDLE_SECONDS: Final = 4.0
_POOL_PER_TARGET_COUNT: Final = 16
# Callers reuse connections that were idle for most of this time.
_CALLER_IDLE_SECONDS: Final = 30.0
_CALLER_DESCRIPTORS_RATIO: Final = 0.6
# Estimated memory of an open connection with its buffers, for the limit of
# connections.
_CONNECTION_BYTES: Final = 32 * 1024
_CONNECTION_MEMORY_RATIO: Final = 0.25
# A response that is sent to a slow caller takes its length twice.
_HELD_MEMORY_RATIO: Final = 0.1
_SHUTDOWN_MARGIN_SECONDS: Final = 0.6
# Part of the margin in which requests that are ended get their answers.
_LAST_ANSWERS_SECONDS: Final = 0.3
_MAX_CALLER_ADDRESSES_COUNT: Final = 64
# Covers an address list that was in transit when the router began to leave.
# Callers that use the list for longer get a refused connection and try another
# address; a request accepted later might not end within the grace period.
_RESOLVE_MARGIN_SECONDS: Final = 0.3
_MAX_HEARTBEAT_ADDRESSES_COUNT: Final = 8
# Interval between heartbeats that carry the window totals. The windows are
# 2.5 s or longer and a report is valid for 2 s, so several reports in a row may
# be lost.
_TOTALS_INTERVAL_SECONDS: Final = 0.2
# Requests wait for these decisions, or must not be placed any more after them.
_DECISION_INTERVAL_SECONDS: Final = 0.1


class Gateway:
    """A gateway process: a context manager that owns all its components.

    :param settings: of this process.
    :param wire: translates HTTP heads of callers and targets.
    :param log_handler: its count of dropped lines is exported as a metric.
    :param selector: of the event loop; without it the loop counts as busy.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        wire: WireFormat,
        log_handler: NonBlockingHandler | None = None,
        selector: TimedSelector | None = None,
    ) -> None:
        """Create the components without opening any socket."""
        self.settings = settings
        self.state = GatewayState(settings, random.Random())
        self.snapshot_store = SnapshotStore()
        self._log_handler = log_handler
        self._selector = selector
        self._incarnation = Incarnation(
            int(time.time() * _MILLISECONDS_PER_SECOND)
        )
        self._sequence = 0
        self._totals_due_seconds = 0.0
        self._rejected_unread_count = 0
        self._newer_at_peer_since: dict[str, float] = {}
        self._live_routers: frozenset[RouterId] = frozenset()
        self._targets = TargetClient(
            PoolLimits(
                idle_seconds=_POOL_IDLE_SECONDS,
                per_target_count=_POOL_PER_TARGET_COUNT,
                request_id_header=wire.request_id_header,
                accepts_close_delimited=True,
                max_held_bytes=int(
                    settings.memory_limit_bytes * _HELD_MEMORY_RATIO
                ),
            )
        )
        self.state.metrics.held_bytes.set_function(
            lambda: self._targets.held.total_bytes
        )
        self.state.metrics.dropped_responses.set_function(
            lambda: self._targets.held.dropped_count
        )
        self._crash_prober = CrashProber(self.state, self.report_news)
        self._urgent_reports = ReportBudget()
        self._rounds = HeartbeatRounds(settings, self.state.peers)
        self._heartbeats = HeartbeatSocket(
            settings.heartbeat_address,
            self._on_heartbeat,
            self.state.metrics.malformed_inputs.labels('heartbeat').inc,
            self._receive_pause_seconds,
        )
        self._handler = GatewayHandler(
            self.state,
            wire,
            self._targets,
            self._crash_prober,
            GatewayIntake(self.state, wire, self._has_current_table),
        )
        self._callers = HttpServer(
            settings.caller_address,
            self._handler,
            _caller_limits(settings),
            render_error=wire.render_error,
            is_gated=True,
            intake=self._handler.intake,
        )
        self._servers = (
            HttpServer(
                settings.control_address, SnapshotServer(self.snapshot_store)
            ),
            HttpServer(
                settings.metrics_address,
                MetricsHandler(
                    self.state.metrics,
                    settings.metrics_path,
                    {EXPLAIN_PATH: ExplainHandler(self.state, wire)},
                ),
            ),
        )
        if selector is not None and selector.suspensions is not None:
            selector.suspensions.subscribe(self.on_suspended)
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
        for step in (
            self._run_heartbeats,
            self._run_maintenance,
            self._run_load_report,
            self._run_decisions,
            self.state.loop_lag.measure_forever,
        ):
            self._tasks.append(await curio.spawn(step, daemon=True))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks and close everything."""
        for task in self._tasks:
            await task.cancel()
        await self._stack.aclose()

    def caller_addresses(self, failure_domain: FailureDomain) -> list[str]:
        """Return the routers that callers can use, nearby ones first.

        A router that receives far more requests than the others is left out,
        so that only the callers that keep to it compete for its processor.

        :param failure_domain: of the caller; routers in it come first.
        """
        now_seconds = self.state.clock()
        peers = self.state.peers.advertised(
            now_seconds,
            is_source_reached=self.state.has_source_responded(now_seconds),
        )
        routers = [self._identity_heartbeat(), *peers]
        flooded = flooded_routers(self.state.request_rates(now_seconds))
        advertised_routers = [
            router
            for router in routers
            if router.is_ready and router.router not in flooded
        ]
        if not advertised_routers:
            # All routers are leaving; those that still accept connections are
            # better than none.
            advertised_routers = [
                router for router in routers if router.is_accepting
            ]
        advertised_routers.sort(
            key=lambda router: (
                router.failure_domain != failure_domain,
                router.caller_address,
            )
        )
        return [
            router.caller_address
            for router in advertised_routers[:_MAX_CALLER_ADDRESSES_COUNT]
        ]

    def on_source_response(
        self, document: str, called_seconds: float | None = None
    ) -> None:
        """Record the time at which the source of a document responded.

        :param called_seconds: time of the call, None for one made just now.
        """
        state = self.state
        now_seconds = state.clock()
        state.source_response_seconds[document] = now_seconds
        state.confirmations.on_source_response(
            document, now_seconds if called_seconds is None else called_seconds
        )

    def on_suspended(self, gap_seconds: float) -> None:
        """Trust nothing that was received before the process runs again.

        :param gap_seconds: time in which it did not run.
        """
        state = self.state
        outdated_count = self._heartbeats.discard_queued()
        state.confirmations.on_resumed(
            self.snapshot_store.versions(), state.clock()
        )
        log_decision(
            Decision.CLOCK_GAP,
            gap_seconds=gap_seconds,
            outdated_heartbeats_count=outdated_count,
        )

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that can change in a running process."""
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        log_decision(Decision.RELOADED, outcome='applied', changed=changed)
        self.settings = settings
        self.state.reload(settings)
        self._rounds.settings = settings

    async def leave(self) -> None:
        """Shut down gracefully; return when the process may exit."""
        leaving = self.settings.leaving
        started_seconds = self.state.clock()
        self.state.is_leaving = True
        log_decision(
            Decision.LEAVING, requests_count=self._callers.exchanges_count
        )
        self._callers.announce_close()
        await self._send_heartbeats()
        drain_limit_seconds = leaving.limit_seconds - _SHUTDOWN_MARGIN_SECONDS
        self.state.ends_seconds = started_seconds + drain_limit_seconds
        await curio.sleep(
            min(
                leaving.address_ttl_seconds + _RESOLVE_MARGIN_SECONDS,
                drain_limit_seconds,
            )
        )
        self.state.is_accepting = False
        await self._send_heartbeats()
        await self._callers.stop_accepting()
        remaining_seconds = drain_limit_seconds - (
            self.state.clock() - started_seconds
        )
        await curio.ignore_after(max(0, remaining_seconds), self._callers.drain)
        await self._handler.end_requests()
        await curio.ignore_after(_LAST_ANSWERS_SECONDS, self._callers.drain)
        log_decision(
            Decision.STOPPED, requests_count=self._callers.exchanges_count
        )

    def _receive_pause_seconds(self) -> float:
        return receive_pause_seconds(self.state.routers_count() - 1)

    async def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        state = self.state
        now_seconds = state.clock()
        if not state.peers.on_heartbeat(heartbeat, now_seconds):
            return
        state.warmup.split.on_heartbeat(heartbeat.router, now_seconds)
        if heartbeat.is_source_seen and not state.confirmations.is_complete:
            state.confirmations.on_peer(
                self.snapshot_store.complete(heartbeat.documents),
                self.snapshot_store.points(),
            )
        state.load_tracker.on_report(
            heartbeat.router, heartbeat.loads, now_seconds
        )
        if heartbeat.totals is not None:
            state.on_totals(heartbeat.router, heartbeat.totals)
        for fingerprint, age_seconds in heartbeat.refused:
            state.rejected_requests.on_report(
                Fingerprint(fingerprint), age_seconds, now_seconds
            )
        for sent in heartbeat.sent_prompts:
            state.on_prompt_sent(sent)
        await self._fetch_newer_snapshots(heartbeat, now_seconds)

    def _has_current_table(self, peer: Heartbeat) -> bool:
        """Return whether a peer follows the author as far as this router."""
        points = self.snapshot_store.complete(peer.documents)
        return all(
            name in points and points[name].revision >= point.revision
            for name, point in self.snapshot_store.points().items()
        )

    async def _fetch_newer_snapshots(
        self, heartbeat: Heartbeat, now_seconds: float
    ) -> None:
        """Fetch documents that a peer has had in a newer version for a while.

        A document that this router does not have yet is fetched at once.
        """
        local_points = self.snapshot_store.points()
        if heartbeat.snapshot_points == local_points:
            return
        documents = self.snapshot_store.complete(heartbeat.documents)
        for name, point in documents.items():
            known_point = local_points.get(name)
            if known_point is not None and point <= known_point:
                continue
            since_seconds = self._newer_at_peer_since.setdefault(
                name, now_seconds
            )
            if (
                known_point is not None
                and now_seconds - since_seconds < _PEER_FETCH_DELAY_SECONDS
            ):
                continue
            self._newer_at_peer_since[name] = now_seconds
            await curio.spawn(
                self._fetch_from_peer, heartbeat, name, daemon=True
            )

    async def _fetch_from_peer(self, heartbeat: Heartbeat, name: str) -> None:
        snapshot = await fetch_snapshot(
            heartbeat.router, heartbeat.control_address, name
        )
        if snapshot is None:
            return
        is_near = heartbeat.failure_domain == self.settings.failure_domain
        self.state.metrics.read_bytes.labels(
            'peer_own' if is_near else 'peer_other'
        ).inc(len(snapshot.content))
        if await self.snapshot_store.put_if_newer(snapshot):
            self._newer_at_peer_since.pop(name, None)
            _LOGGER.info(
                'took a document from a peer',
                extra={
                    'peer': heartbeat.router,
                    'document': name,
                    'version': snapshot.version,
                },
            )

    async def _run_heartbeats(self) -> None:
        while True:
            await self._run_step(self._send_due_heartbeats)
            await curio.sleep(
                self._rounds.next_interval_seconds(self.state.clock())
            )

    async def report_news(self) -> None:
        """Tell the peers at once what this router knows of crashes."""
        state = self.state
        if not state.crash_causes.has_news:
            return
        self._totals_due_seconds = 0
        now_seconds = state.clock()
        self._rounds.on_news(now_seconds)
        peers_count = len(state.peers.live(now_seconds))
        if self._urgent_reports.try_spend(now_seconds, peers_count):
            await self._run_step(self._send_heartbeats)

    async def _run_decisions(self) -> None:
        while True:
            await curio.sleep(_DECISION_INTERVAL_SECONDS)
            await self._run_step(self._decide)

    async def _decide(self) -> None:
        self.state.expire_peer_reports()
        self.state.expire_targets()
        self.state.expire_evacuations()
        if self.state.decide_crash_causes():
            self._rounds.on_news(self.state.clock())

    async def _send_heartbeats(self) -> None:
        self._send_heartbeats_to(is_to_all=True)

    async def _send_due_heartbeats(self) -> None:
        self._send_heartbeats_to(
            is_to_all=self._rounds.is_due_elsewhere(self.state.clock())
        )

    def _send_heartbeats_to(self, *, is_to_all: bool) -> None:
        now_seconds = self.state.clock()
        recipients = self._rounds.recipients(now_seconds, is_to_all=is_to_all)
        if recipients.elsewhere and self._rounds.is_reduced:
            # They get too few heartbeats to leave the totals out of any.
            self._totals_due_seconds = 0
        near = self._heartbeat(now_seconds, is_to_all=is_to_all)
        elsewhere = self._rounds.on_sent(near, now_seconds, is_to_all=is_to_all)
        datagram = self._encode(near)
        self._send_to(recipients.near, datagram, 'own')
        if elsewhere is not near:
            datagram = self._encode(elsewhere)
        self._send_to(recipients.elsewhere, datagram, 'other')

    def _encode(self, heartbeat: Heartbeat) -> bytes:
        datagram, is_shortened = encode_fitting_heartbeat(heartbeat)
        if is_shortened:
            self.state.metrics.shortened_heartbeats.inc()
        return datagram

    def _send_to(
        self, addresses: Collection[str], datagram: bytes, domain: str
    ) -> None:
        self.state.metrics.sent_bytes.labels('heartbeat', domain).inc(
            len(datagram) * len(addresses)
        )
        for address in addresses:
            self._heartbeats.send(datagram, address)

    def _heartbeat(self, now_seconds: float, *, is_to_all: bool) -> Heartbeat:
        state = self.state
        self._sequence += 1
        self._count_unread_arrivals(now_seconds)
        return replace(
            self._identity_heartbeat(),
            sequence=self._sequence,
            snapshot_versions=self.snapshot_store.versions(),
            snapshot_points=self.snapshot_store.points(),
            loads=state.load_tracker.local_loads,
            totals=self._totals_if_due(now_seconds, is_to_all=is_to_all),
            sent_prompts=state.prompt_reports.take(),
            refused=state.rejected_requests.take_unreported(now_seconds),
            is_source_seen=state.has_source_responded(now_seconds),
            requests_per_second=state.arrivals.per_second(now_seconds),
        )

    def _count_unread_arrivals(self, now_seconds: float) -> None:
        """Add the requests rejected unread to the request rate."""
        former_count = self._rejected_unread_count
        self._rejected_unread_count = self._callers.counts.rejected_unread_count
        self.state.arrivals.record(
            now_seconds, self._rejected_unread_count - former_count
        )

    def _totals_if_due(
        self, now_seconds: float, *, is_to_all: bool
    ) -> WindowTotals | None:
        if now_seconds < self._totals_due_seconds:
            return None
        self._totals_due_seconds = now_seconds + _TOTALS_INTERVAL_SECONDS
        state = self.state
        addresses = tuple(
            peer.heartbeat_address for peer in state.peers.live(now_seconds)
        )
        return WindowTotals(
            usages=state.fair_shares.local_usages,
            admissions={
                service: window.local_counts(now_seconds)
                for service, window in state.admission_windows.items()
            },
            known_addresses=addresses[:_MAX_HEARTBEAT_ADDRESSES_COUNT],
            plain_usages=state.contended_plain_usages(),
            crash_evidence=state.crash_causes.report(now_seconds),
            target_limits=state.target_limits.report(now_seconds),
            # Peers add them up, so that each report has to reach all of them.
            target_speeds=state.report_target_speeds(now_seconds)
            if is_to_all
            else (),
        )

    def _identity_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with only the identity and state of the router."""
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

    async def _run_maintenance(self) -> None:
        while True:
            await curio.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            await self._run_step(self._maintain)

    async def _run_load_report(self) -> None:
        while True:
            await curio.sleep(REPORT_INTERVAL_SECONDS)
            await self._run_step(self._report_load)

    async def _report_load(self) -> None:
        state = self.state
        metrics = state.metrics
        connections_count = self._callers.connections_count
        metrics.open_connections.set(connections_count)
        state.load_report.write(
            self._callers.counts,
            self._selector.waited_seconds if self._selector else 0,
            state.share_facts,
            loop_lag_ms=round(
                state.loop_lag.take_highest() * _MILLISECONDS_PER_SECOND
            ),
            connections_count=connections_count,
            exchanges_count=self._callers.exchanges_count,
            waiting_count=self._callers.waiting_count,
        )

    async def _maintain(self) -> None:
        state = self.state
        if state.table is not None:
            self._callers.limit_header(state.table.limits.max_header_bytes)
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
        metrics.loop_lag_seconds.set(state.loop_lag.seconds)
        metrics.live_routers.set(len(routers) + 1)
        for name, version in self.snapshot_store.versions().items():
            metrics.snapshot_version.labels(name).set(version)
        if self._log_handler is not None:
            metrics.log_lines_dropped.set(self._log_handler.dropped_count)

    async def _run_step(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run one step of a periodic task; an exception is only logged."""
        try:
            await step()
        except Exception:
            _LOGGER.exception('a periodic task of the gateway failed')


def _caller_limits(settings: GatewaySettings) -> HttpLimits:
    by_descriptors = (
        settings.descriptors_limit_count * _CALLER_DESCRIPTORS_RATIO
    )
    memory_bytes = settings.memory_limit_bytes * _CONNECTION_MEMORY_RATIO
    connections_count = min(by_descriptors, memory_bytes / _CONNECTION_BYTES)
    return HttpLimits(
        idle_timeout_seconds=_CALLER_IDLE_SECONDS,
        max_connections_count=max(1, int(connections_count)),
    )
