"""State of a gateway, shared by its requests and background tasks."""

import math
import random
import time
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, Final

import curio

from dotterelhatch.core.admission import AdmissionWindow
from dotterelhatch.core.arrivals import ArrivalRate, exceeds_peer_rates
from dotterelhatch.core.balancer import (
    Balancer,
    BalancerExtensions,
    BalancerSettings,
)
from dotterelhatch.core.confirmations import DocumentConfirmations
from dotterelhatch.core.crashblame import CauseSet
from dotterelhatch.core.crashcauses import CrashCauses, format_cause
from dotterelhatch.core.durations import RouteDurations
from dotterelhatch.core.evacuations import EvacuationChanges, Evacuations
from dotterelhatch.core.fairshare import (
    FairShareTracker,
    Usage,
    UsageSample,
)
from dotterelhatch.core.fleetretries import FleetRetryBudget, FleetRetrySettings
from dotterelhatch.core.load import LoadTracker
from dotterelhatch.core.peers import (
    PeerDirectory,
    WindowTotals,
    evidence_interval_seconds,
)
from dotterelhatch.core.prompts import (
    CACHED_PREFIX_BYTES,
    PromptReports,
    SentPrompt,
)
from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.core.rejections import RejectedRequests
from dotterelhatch.core.routes import RoutingTable, ServiceSpec
from dotterelhatch.core.speeds import SpeedReport, TargetSpeeds
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.core.warmup import FleetSplit, WarmupBounds, WarmupLimits
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.lag import LoopLag
from dotterelhatch.gateway.loadreport import LoadReport
from dotterelhatch.gateway.metrics import GatewayMetrics
from dotterelhatch.gateway.settings import GatewaySettings
from dotterelhatch.ids import (
    FailureDomain,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.net.bodies import request_bodies

__all__ = ('GatewayState', 'boottime_seconds')

# In a small fleet a reachable source responds at least every 3 s. In a large
# fleet a call may wait for 10 s, but some peer got a response more recently.
_SOURCE_TIMEOUT_SECONDS: Final = 4.5
# Moves all connections of the callers of a router within a few seconds.
_CLOSE_INTERVAL_SECONDS: Final = 0.02
_CONFIRMATION_CHECK_SECONDS: Final = 0.01
_MILLISECONDS_PER_SECOND: Final = 1000
_CACHED_PREFIXES_MEMORY_RATIO: Final = 0.08
# A body takes its length twice while it is sent to a target.
_REQUEST_BODIES_MEMORY_RATIO: Final = 0.2


def boottime_seconds() -> float:
    """Return a monotonic time that includes system suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayState:
    """The sans-I/O components of a gateway, its metrics and loop lag.

    :param settings: of this process.
    :param rng: breaks ties and spreads retries.
    :param clock: monotonic time in seconds that includes suspension.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        rng: random.Random,
        clock: Callable[[], float] = boottime_seconds,
    ) -> None:
        """Start with no routing table and no targets."""
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.table: RoutingTable | None = None
        self.metrics = GatewayMetrics()
        self.load_report = LoadReport(self.metrics)
        self.registry = TargetRegistry(
            settings.target_departure_seconds, settings.target_renewal_seconds
        )
        self.evacuations = Evacuations()
        self.load_tracker = LoadTracker()
        self.health = TargetHealth()
        self.crash_causes = CrashCauses(settings.router_id, self._live_routers)
        self.rejected_requests = RejectedRequests()
        self.admission_windows: dict[ServiceId, AdmissionWindow] = {}
        self.prompt_reports = PromptReports()
        self.request_bodies = request_bodies(
            int(settings.memory_limit_bytes * _REQUEST_BODIES_MEMORY_RATIO)
        )
        self.fair_shares = FairShareTracker(settings.share_window_seconds)
        self.plain_shares: dict[ServiceId, FairShareTracker] = {}
        self.peers = PeerDirectory(
            settings.router_id, settings.heartbeat_address
        )
        self.target_limits = TargetLimits(
            settings.router_id, self._sharing_rates
        )
        self.warmup = WarmupLimits(
            settings.router_id,
            FleetSplit(
                settings.router_id,
                clock(),
                lambda: len(self.peers.addresses(self.clock())),
            ),
            _warmup_bounds(settings),
        )
        self.target_speeds = TargetSpeeds(self.registry.find)
        self.balancer = Balancer(
            BalancerSettings(
                settings.failure_domain, _max_prefixes_count(settings)
            ),
            self.registry,
            self.load_tracker,
            self.health,
            self.target_limits,
            rng,
            BalancerExtensions(
                self.warmup,
                self.target_speeds if settings.learns_target_speeds else None,
            ),
        )
        self.metrics.paused_targets.set_function(
            lambda: self.balancer.pauses.paused_count(self.clock())
        )
        self.metrics.cold_targets.set_function(
            lambda: self.warmup.cold_count(self.clock())
        )
        self.metrics.cold_placements.set_function(
            lambda: self.warmup.placed_count
        )
        self.metrics.unusable_targets.set_function(
            lambda: self.registry.unusable_count
        )
        self.metrics.evacuated_targets.set_function(
            lambda: self.registry.evacuated_count
        )
        self.metrics.cached_prefixes.set_function(
            lambda: self.balancer.cache.prefixes_count
        )
        self.metrics.memory_limited_services.set_function(
            lambda: self.balancer.memory.limiting_count
        )
        self.metrics.request_body_bytes.set_function(
            lambda: self.request_bodies.total_bytes
        )
        self.metrics.lapsed_targets.set_function(
            lambda: len(self.registry.lapsed)
        )
        self.retry_budget = FleetRetryBudget(_retry_budget_settings(settings))
        # Settings that are reloaded do not change how targets are chosen.
        self.learns_target_speeds = settings.learns_target_speeds
        self.loop_lag = LoopLag()
        self.arrivals = ArrivalRate()
        self._closed_seconds = -math.inf
        self.is_leaving = False
        self.durations = RouteDurations()
        # Time at which a shutdown ends the requests that are still in progress.
        self.ends_seconds = math.inf
        self.is_accepting = True
        self.source_response_seconds: dict[str, float] = {}
        self.confirmations = DocumentConfirmations()

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this router."""
        return self.table is not None and not self.is_leaving

    @property
    def is_source_current(self) -> bool:
        """Return whether the routing table is known to be up to date.

        That is so if the source recently responded to this router or to a live
        peer, from which newer versions are fetched.
        """
        now_seconds = self.clock()
        return self.has_source_responded(now_seconds) or any(
            peer.is_source_seen for peer in self.peers.live(now_seconds)
        )

    def has_source_responded(self, now_seconds: float) -> bool:
        """Return whether all sources recently responded to this router.

        A response from before a suspension says nothing.
        """
        if not self.confirmations.is_complete:
            return False
        oldest_seconds = min(
            self.source_response_seconds.values(), default=-math.inf
        )
        return now_seconds - oldest_seconds <= _SOURCE_TIMEOUT_SECONDS

    def peer_answered_seconds(self) -> float:
        """Return a time after which all sources answered some peer."""
        return self.peers.source_seen_seconds() - _SOURCE_TIMEOUT_SECONDS

    async def wait_confirmed(self) -> None:
        """Wait until what was known before a suspension is known to hold.

        A request that arrived, or went on, just after it would otherwise use
        a key that has been taken away, or a target that has left.
        """
        while self.confirmations.wait_seconds(self.clock()):
            await curio.sleep(_CONFIRMATION_CHECK_SECONDS)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that can change in a running process."""
        self.settings = settings
        self.retry_budget.settings = _retry_budget_settings(settings)
        self.warmup.apply_bounds(_warmup_bounds(settings))
        self.peers.add_addresses(settings.seed_addresses, self.clock())

    def count_arrival(self) -> bool:
        """Count a request; return whether to close its connection.

        A router that receives far more requests than its peers closes
        connections, so that callers reconnect to other routers.
        """
        now_seconds = self.clock()
        self.arrivals.record(now_seconds)
        rates = [
            peer.requests_per_second
            for peer in self.peers.live(now_seconds)
            if peer.is_ready
        ]
        return (
            exceeds_peer_rates(self.arrivals.per_second(now_seconds), rates)
            and self.may_close_connection()
        )

    def may_close_connection(self) -> bool:
        """Return whether to close a connection to move its caller.

        Callers that use only this router come back at once, and accepting a
        connection takes about as long as a rejection. The rate is therefore
        limited, so that closing does not add to the overload.
        """
        now_seconds = self.clock()
        if now_seconds - self._closed_seconds < _CLOSE_INTERVAL_SECONDS:
            return False
        self._closed_seconds = now_seconds
        return True

    def count_sent_bytes(
        self, cause: str, domain: FailureDomain | None, sent_bytes: int
    ) -> None:
        """Count bytes that were sent.

        :param domain: failure domain of the receiver, None if it is unknown.
        """
        place = 'unknown'
        if domain is not None:
            is_own = domain == self.settings.failure_domain
            place = 'own' if is_own else 'other'
        self.metrics.sent_bytes.labels(cause, place).inc(sent_bytes)

    def admission_window(self, service: ServiceId) -> AdmissionWindow:
        """Return the admission window of a service."""
        window = self.admission_windows.get(service)
        if window is None:
            window = AdmissionWindow()
            self.admission_windows[service] = window
        return window

    def fair_share_tracker(self, service: ServiceSpec) -> FairShareTracker:
        """Return the usage of a service; all engines share one tracker."""
        if service.engine is not None:
            return self.fair_shares
        return self._plain_share_tracker(service.id)

    def count_asked_tokens(
        self, service: ServiceSpec, organisation: OrganisationId, tokens: int
    ) -> None:
        """Count the first arrival of a request for the fair shares."""
        self.fair_share_tracker(service).on_arrived(
            organisation, tokens, self.clock()
        )
        self._report_tokens(service, organisation, 'asked', tokens)

    def count_rejected_demand(
        self,
        service: ServiceSpec,
        organisation: OrganisationId | None,
        tokens: int,
    ) -> None:
        """Count a request that this router cannot serve for the fair shares.

        It is demand, but no overload: the processor of one router says nothing
        about the engines, which would be left idle if others were limited.
        Retries are recognised by their body, which has not been read, so they
        count again; demand above the share does not change it.
        """
        if organisation is None or not tokens:
            return
        self.count_asked_tokens(service, organisation, tokens)

    def count_placed_tokens(
        self, service: ServiceSpec, organisation: OrganisationId, tokens: int
    ) -> UsageSample:
        """Count a request that is placed on a target for the fair shares.

        :returns: the counted usage, for :meth:`withdraw_placed_tokens`.
        """
        self._report_tokens(service, organisation, 'placed', tokens)
        return self.fair_share_tracker(service).on_placed(
            organisation, tokens, self.clock()
        )

    def withdraw_placed_tokens(
        self, service: ServiceSpec, sample: UsageSample
    ) -> None:
        """Take back the usage of a request that its target has not begun."""
        self.fair_share_tracker(service).withdraw(sample)

    def report_begun_tokens(
        self, service: ServiceSpec, organisation: OrganisationId, tokens: int
    ) -> None:
        """Report a request that a target has begun to answer."""
        self._report_tokens(service, organisation, 'begun', tokens)

    def share_facts(self, organisation: OrganisationId) -> dict[str, Any]:
        """Return the usage of engines by an organisation for a log line."""
        now_seconds = self.clock()
        shares = self.fair_shares
        used_share = shares.fair_share_ratio(organisation, now_seconds)
        usage = shares.total_usage(organisation)
        share_tokens = shares.fair_share_tokens(now_seconds)
        return {
            'used_share': round(used_share, 2),
            'fleet_asked_tokens': usage.asked_tokens,
            'fleet_used_tokens': usage.begun_tokens,
            'share_tokens': round(share_tokens)
            if math.isfinite(share_tokens)
            else None,
        }

    def record_sent_prompt(self, sent: SentPrompt) -> None:
        """Record a prompt sent to a target, also for the next heartbeat."""
        self.on_prompt_sent(sent)
        self.prompt_reports.add(sent)

    def on_prompt_sent(self, sent: SentPrompt) -> None:
        """Record a prompt that this router or a peer sent to a target.

        Nothing would clear what is kept of a target that is gone.
        """
        if self.registry.is_known(sent.target):
            self.balancer.cache.on_sent(sent)
            self.balancer.memory.on_sent(sent, self.clock())

    def on_totals(self, router: RouterId, totals: WindowTotals) -> None:
        """Apply the window totals of a peer."""
        now_seconds = self.clock()
        self.fair_shares.on_report(router, totals.usages, now_seconds)
        for plain_service, usages in totals.plain_usages.items():
            self._plain_share_tracker(plain_service).on_report(
                router, usages, now_seconds
            )
        for service, counts in totals.admissions.items():
            self.admission_window(service).on_report(
                router, counts, now_seconds
            )
        for report in self.target_limits.on_report(
            totals.target_limits, now_seconds
        ):
            self.on_limit_changed(
                report.target, report.limit_per_second, router
            )
        if self.learns_target_speeds:
            self.target_speeds.on_report(
                router, totals.target_speeds, now_seconds
            )
        found = self.crash_causes.on_report(
            router, totals.crash_evidence, now_seconds
        )
        if found:
            self.on_causes_rejected(found, router)

    def report_target_speeds(
        self, now_seconds: float
    ) -> tuple[SpeedReport, ...]:
        """Update the learned speeds; return what is new for the peers."""
        if not self.learns_target_speeds:
            return ()
        speeds = self.target_speeds
        reports = speeds.report(now_seconds)
        for change in speeds.take_changes():
            log_decision(
                Decision.TARGET_SPEED_CHANGED,
                target=change.target,
                service=change.service,
                per_second=round(change.per_second, 1),
                former_per_second=round(change.former_per_second, 1),
            )
        if reports:
            self._update_speed_metrics()
        return reports

    def _update_speed_metrics(self) -> None:
        self.metrics.learned_targets.set(self.target_speeds.learned_count)
        for service, rates in self.target_speeds.service_rates.items():
            for quarter, rate in enumerate(rates, 1):
                self.metrics.learned_rate.labels(
                    service, f'{quarter}/{len(rates)}'
                ).set(rate)

    def decide_crash_causes(self) -> bool:
        """Reject the causes of crashes that are known by now.

        :returns: whether there are new ones.
        """
        now_seconds = self.clock()
        interval_seconds = evidence_interval_seconds(
            len(self.peers.live(now_seconds))
        )
        found = self.crash_causes.decide(now_seconds, interval_seconds)
        self.on_causes_rejected(found, self.settings.router_id)
        return bool(found)

    def on_causes_rejected(
        self, found: Iterable[CauseSet], source: RouterId
    ) -> None:
        """Log causes whose requests are rejected from now on.

        :param source: the router whose observation decided it.
        """
        for causes in found:
            log_decision(
                Decision.CRASH_CAUSE_REJECTED,
                crash_causes=[format_cause(cause) for cause in sorted(causes)],
                source=source,
            )
        self.metrics.rejected_crash_causes.set(
            len(self.crash_causes.rejected_sets)
        )

    def on_limit_changed(
        self,
        target: TargetId,
        limit_per_second: float | None,
        source: RouterId,
    ) -> None:
        """Log the limit of a target.

        :param source: the router that received the answer with it.
        """
        log_decision(
            Decision.TARGET_LIMIT_CHANGED,
            target=target,
            limit_per_second=limit_per_second,
            share_per_second=self.target_limits.share_per_second(target),
            routers_count=len(self._sharing_rates()),
            source=source,
        )
        self.metrics.limited_targets.set(self.target_limits.limited_count)

    def request_rates(self, now_seconds: float) -> dict[RouterId, float]:
        """Return the request rates of this router and its ready peers."""
        rates = {
            peer.router: peer.requests_per_second
            for peer in self.peers.live(now_seconds)
            if peer.is_ready
        }
        own_rate = self.arrivals.per_second(now_seconds)
        return {**rates, self.settings.router_id: own_rate}

    def _sharing_rates(self) -> dict[RouterId, float]:
        """Return the request rates of the routers that share limits."""
        now_seconds = self.clock()
        rates = {
            peer.router: peer.requests_per_second
            for peer in self.peers.sharing(now_seconds)
        }
        own_rate = self.arrivals.per_second(now_seconds)
        return {**rates, self.settings.router_id: own_rate}

    def _report_tokens(
        self,
        service: ServiceSpec,
        organisation: OrganisationId,
        event: str,
        tokens: int,
    ) -> None:
        self.metrics.organisation_tokens.labels(
            service.id, organisation, event
        ).inc(tokens)
        if service.engine is not None:
            self.load_report.on_tokens(organisation, event, tokens)

    def _live_routers(self) -> list[RouterId]:
        return [peer.router for peer in self.peers.live(self.clock())]

    def contended_plain_usages(
        self,
    ) -> dict[ServiceId, Mapping[OrganisationId, Usage]]:
        """Return the local usage of plain services that reject requests."""
        now_seconds = self.clock()
        return {
            service: tracker.local_usages
            for service, tracker in self.plain_shares.items()
            if self.admission_window(service).rejection_rate(now_seconds) > 0
        }

    def _plain_share_tracker(self, service: ServiceId) -> FairShareTracker:
        tracker = self.plain_shares.get(service)
        if tracker is None:
            tracker = FairShareTracker(self.settings.share_window_seconds)
            self.plain_shares[service] = tracker
        return tracker

    def routers_count(self) -> int:
        """Return the number of routers that share the limits of the fleet."""
        return self.peers.max_live_count(self.clock())

    def apply_table(self, table: RoutingTable) -> None:
        """Apply a routing table unless a newer one is active."""
        known = self.table
        if known is not None and known.version >= table.version:
            return
        self.table = table
        self.warmup.apply_services(table.services)
        route_names = frozenset(route.name for route in table.routes)
        self.durations.retain(route_names)
        self.balancer.memory.retain(table.services.keys(), route_names)
        log_decision(
            Decision.TABLE_CHANGED,
            version=table.version,
            former_version=known.version if known else None,
            routes_count=len(table.routes),
        )

    def apply_evacuations(
        self, requested: frozenset[FailureDomain], era: int
    ) -> None:
        """Apply the requested evacuations.

        :param era: of the source of the requests.
        """
        changes = self.evacuations.apply(requested, era, self.clock())
        self._on_evacuations_changed(changes, 'withdrawn')

    def expire_evacuations(self) -> None:
        """End evacuations that were lost and not requested again."""
        if self.evacuations.lapsed:
            changes = self.evacuations.expire(self.clock())
            self._on_evacuations_changed(changes, 'not_requested_again')

    def _on_evacuations_changed(
        self, changes: EvacuationChanges, reason: str
    ) -> None:
        """Stop or resume the use of targets; log the changes.

        :param reason: why those that ended did.
        """
        in_force = self.evacuations.in_force
        self.registry.set_evacuated(in_force)
        self.metrics.evacuated_domains.set(len(in_force))
        self.metrics.lapsed_evacuations.set(len(self.evacuations.lapsed))
        for domain in sorted(changes.begun):
            self._log_evacuation(domain, 'begun', 'requested')
        for domain in sorted(changes.lapsed):
            self._log_evacuation(domain, 'lapsed', 'missing_in_copy')
        for domain in sorted(changes.ended):
            self._log_evacuation(domain, 'ended', reason)
            # Nothing was sent there, so the parts may have been evicted.
            for returned in self.registry.in_domain(domain):
                self.balancer.cache.reset(returned.id)
        services = {
            entry.service
            for changed in changes.begun | changes.ended
            for entry in self.registry.in_domain(changed)
        }
        for service in services:
            self.update_ready_targets(service)

    def _log_evacuation(
        self, domain: FailureDomain, change: str, reason: str
    ) -> None:
        log_decision(
            Decision.EVACUATION_CHANGED,
            failure_domain=domain,
            change=change,
            reason=reason,
            targets_count=len(self.registry.in_domain(domain)),
        )

    def apply_targets(
        self,
        entries: Iterable[TargetEntry],
        regained_seconds: float | None,
        unreadable: Collection[TargetId] = (),
    ) -> None:
        """Apply a list of targets.

        :param regained_seconds: end of the last outage of the source in which
            entries may have expired, None if there was none.
        :param unreadable: targets whose entries are malformed.
        """
        formerly_lapsed = self.registry.lapsed
        listed = tuple(entries)
        # Before the registry offers the entries to requests.
        self._log_cold(self.warmup.on_entries(listed, self.clock()))
        changed = self.registry.apply(
            listed,
            self.clock(),
            regained_seconds=regained_seconds,
            unreadable=unreadable,
        )
        self._log_lapsed(formerly_lapsed, regained_seconds)
        self._on_targets_changed(changed)

    def expire_peer_reports(self) -> None:
        """Give up what silent peers have reported of their requests."""
        now_seconds = self.clock()
        self.load_tracker.expire(
            now_seconds, is_isolated=self.peers.is_isolated(now_seconds)
        )
        for shares in (self.fair_shares, *self.plain_shares.values()):
            shares.expire_reports(now_seconds)

    def expire_targets(self) -> None:
        """Remove targets that were not listed again after an outage.

        Those that are back are used again.
        """
        self._on_targets_changed(
            self.registry.expire(self.clock()), is_grace_over=True
        )
        if self.is_source_current:
            self._on_targets_changed(self.registry.readmit(self.clock()))

    def _log_cold(self, entries: Iterable[TargetEntry]) -> None:
        now_seconds = self.clock()
        for entry in entries:
            view = self.warmup.split.view(now_seconds)
            rate = self.warmup.rate_per_second(entry, now_seconds)
            log_decision(
                Decision.TARGET_COLD,
                target=entry.id,
                service=entry.service,
                started_ms=entry.started_ms,
                cold_left_ms=round(
                    entry.cold_left_seconds * _MILLISECONDS_PER_SECOND
                ),
                rate_per_second=round(rate, 2),
                routers_count=len(view.routers),
                heard_share=round(view.share, 2),
            )

    def _log_lapsed(
        self,
        formerly_lapsed: frozenset[TargetId],
        regained_seconds: float | None,
    ) -> None:
        if regained_seconds is None:
            return
        regained_ms_ago = round(
            (self.clock() - regained_seconds) * _MILLISECONDS_PER_SECOND
        )
        for target in sorted(self.registry.lapsed - formerly_lapsed):
            log_decision(
                Decision.TARGET_LAPSED,
                target=target,
                regained_ms_ago=regained_ms_ago,
            )

    def _on_targets_changed(
        self, changed: Iterable[TargetEntry], *, is_grace_over: bool = False
    ) -> None:
        services = set()
        for entry in changed:
            log_decision(
                Decision.TARGET_CHANGED,
                target=entry.id,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
                started_ms=entry.started_ms,
                is_listed=not is_grace_over
                and self.registry.is_known(entry.id),
                is_grace_over=is_grace_over,
                may_have_left=self.registry.may_have_left(entry),
            )
            services.add(entry.service)
            if entry.state is TargetState.LEAVING:
                self.target_limits.forget(entry.id)
            if not self.registry.is_known(entry.id):
                self.balancer.cache.reset(entry.id)
                self.warmup.forget(entry.id)
            if entry.state is TargetState.READY:
                self.health.reset(entry.id)
                self.target_speeds.forget(entry.id)
                self.balancer.cache.reset(entry.id)
                self.crash_causes.on_started(entry.id)
        for service in services:
            self.update_ready_targets(service)

    def update_ready_targets(self, service: ServiceId) -> None:
        """Set the metric of the targets of a service that take requests."""
        self.metrics.ready_targets.labels(service).set(
            len(self.registry.ready(service))
        )


def _max_prefixes_count(settings: GatewaySettings) -> int:
    max_bytes = settings.memory_limit_bytes * _CACHED_PREFIXES_MEMORY_RATIO
    return int(max_bytes / CACHED_PREFIX_BYTES)


def _warmup_bounds(settings: GatewaySettings) -> WarmupBounds:
    return WarmupBounds(
        overshoot_ratio=settings.warmup.overshoot_ratio,
        slack_count=settings.warmup.slack_count,
    )


def _retry_budget_settings(settings: GatewaySettings) -> FleetRetrySettings:
    return FleetRetrySettings(
        window_seconds=settings.repeats.window_seconds,
        ratio=settings.repeats.ratio,
        slack_count=settings.repeats.slack_count,
    )
