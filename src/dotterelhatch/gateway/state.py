"""What a gateway knows; shared by its requests and its background tasks."""

import math
import random
import time
from collections.abc import Callable, Iterable
from typing import Final

from dotterelhatch.core.admission import AdmissionWindow
from dotterelhatch.core.arrivals import ArrivalRate, exceeds_peer_rates
from dotterelhatch.core.balancer import Balancer, BalancerSettings
from dotterelhatch.core.fairshare import FairShareTracker
from dotterelhatch.core.fleetretries import FleetRetryBudget, FleetRetrySettings
from dotterelhatch.core.load import LoadTracker
from dotterelhatch.core.peers import PeerDirectory, WindowTotals
from dotterelhatch.core.prompts import SentPrompt
from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.core.rejections import RejectedRequests
from dotterelhatch.core.retries import CrashSuspects
from dotterelhatch.core.routes import RoutingTable
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.lag import LoopLag
from dotterelhatch.gateway.metrics import GatewayMetrics
from dotterelhatch.gateway.settings import GatewaySettings
from dotterelhatch.ids import RouterId, ServiceId

__all__ = ('GatewayState',)

# A source that answers is heard at least every 3 s.
_SOURCE_CURRENT_SECONDS: Final = 4.5


def _elapsed_seconds() -> float:
    """Return seconds of a steady clock that counts the time of a freeze."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayState:
    """The parts of the pure layer of one gateway.

    :param settings: of this process.
    :param rng: for choices among equals.
    :param clock: steady seconds that count the time of a freeze.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        rng: random.Random,
        clock: Callable[[], float] = _elapsed_seconds,
    ) -> None:
        """Start with no routing table and no targets."""
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.table: RoutingTable | None = None
        self.metrics = GatewayMetrics()
        self.registry = TargetRegistry()
        self.board = LoadTracker()
        self.health = TargetHealth()
        self.suspects = CrashSuspects()
        self.refused = RejectedRequests()
        self.admission_windows: dict[ServiceId, AdmissionWindow] = {}
        self.sent_prompts: list[SentPrompt] = []
        self.shares = FairShareTracker(settings.share_window_seconds)
        self.peers = PeerDirectory(
            settings.router_id, settings.heartbeat_address
        )
        self.balancer = Balancer(
            BalancerSettings(settings.failure_domain),
            self.registry,
            self.board,
            self.health,
            rng,
        )
        self.allowance = FleetRetryBudget(_allowance_settings(settings))
        self.lag = LoopLag()
        self.arrivals = ArrivalRate()
        self.is_leaving = False
        self.is_accepting = True
        self.source_answer_seconds: dict[str, float] = {}

    @property
    def is_ready(self) -> bool:
        """Return whether callers should send requests here."""
        return self.table is not None and not self.is_leaving

    @property
    def is_source_current(self) -> bool:
        """Return whether the routing table can be trusted to be the newest.

        It can when the source answered lately, here or at a peer.
        """
        now_seconds = self.clock()
        return self.has_source_answered(now_seconds) or any(
            peer.is_source_seen for peer in self.peers.live(now_seconds)
        )

    def has_source_answered(self, now_seconds: float) -> bool:
        """Return whether all sources answered this router lately."""
        oldest_seconds = min(
            self.source_answer_seconds.values(), default=-math.inf
        )
        return now_seconds - oldest_seconds <= _SOURCE_CURRENT_SECONDS

    def reload(self, settings: GatewaySettings) -> None:
        """Take over the settings that can change in a running process."""
        self.settings = settings
        self.allowance.settings = _allowance_settings(settings)
        self.peers.add_addresses(settings.seed_addresses, self.clock())

    def count_arrival(self) -> bool:
        """Count a request; return whether its connection should end.

        The caller opens the next one at another router.
        """
        now_seconds = self.clock()
        self.arrivals.record(now_seconds)
        rates = [
            peer.requests_per_second
            for peer in self.peers.live(now_seconds)
            if peer.is_ready
        ]
        return exceeds_peer_rates(self.arrivals.per_second(now_seconds), rates)

    def admission_window(self, service: ServiceId) -> AdmissionWindow:
        """Return the window of a service."""
        return self.admission_windows.setdefault(service, AdmissionWindow())

    def record_sent_prompt(self, sent: SentPrompt) -> None:
        """Note a prompt that is sent, here and with the next heartbeat."""
        self.balancer.cache.on_sent(sent)
        self.sent_prompts.append(sent)

    def take_sent_prompts(self) -> tuple[SentPrompt, ...]:
        """Return what was sent since the last heartbeat."""
        sent = tuple(self.sent_prompts)
        self.sent_prompts.clear()
        return sent

    def on_totals(self, router: RouterId, totals: WindowTotals) -> None:
        """Take over what a peer counted within its windows."""
        now_seconds = self.clock()
        self.shares.on_report(router, totals.usages, now_seconds)
        for service, counts in totals.admissions.items():
            self.admission_window(service).on_report(
                router, counts, now_seconds
            )

    def routers_count(self) -> int:
        """Return how many routers share the bounds of the fleet."""
        return self.peers.max_live_count

    def apply_table(self, table: RoutingTable) -> None:
        """Put a routing table in force."""
        known = self.table
        if known is not None and known.version >= table.version:
            return
        self.table = table
        log_decision(
            Decision.TABLE_CHANGED,
            version=table.version,
            former_version=known.version if known else None,
            routes_count=len(table.routes),
        )

    def apply_targets(
        self,
        entries: Iterable[TargetEntry],
        regained_seconds: float | None,
    ) -> None:
        """Take over the list of targets.

        :param regained_seconds: when the list was reached again.
        """
        changed = self.registry.apply(
            entries, self.clock(), regained_seconds=regained_seconds
        )
        self._on_targets_changed(changed)

    def expire_targets(self) -> None:
        """Drop targets that did not return after an outage of their list."""
        self._on_targets_changed(self.registry.expire(self.clock()))

    def _on_targets_changed(self, changed: Iterable[TargetEntry]) -> None:
        services = set()
        for entry in changed:
            log_decision(
                Decision.TARGET_CHANGED,
                target=entry.id,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
                started_ms=entry.started_ms,
            )
            services.add(entry.service)
            if entry.state is TargetState.READY:
                self.health.reset(entry.id)
                self.balancer.cache.reset(entry.id)
        for service in services:
            self.metrics.ready_targets.labels(service).set(
                len(self.registry.ready(service))
            )


def _allowance_settings(settings: GatewaySettings) -> FleetRetrySettings:
    return FleetRetrySettings(
        window_seconds=settings.repeats.window_seconds,
        ratio=settings.repeats.ratio,
        slack_count=settings.repeats.slack_count,
    )
