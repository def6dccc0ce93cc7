"""Routing policies: the classes of the gateway, and a simple baseline."""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Final, Protocol

from dotterelhatch.core.admission import AdmissionFactors, AdmissionWindow
from dotterelhatch.core.balancer import (
    Balancer,
    BalancerExtensions,
    BalancerSettings,
    Placement,
    PlacementRequest,
)
from dotterelhatch.core.enginememory import FinishedStream
from dotterelhatch.core.fairshare import FairShareTracker
from dotterelhatch.core.load import InFlightRequest, LoadTracker, TargetLoad
from dotterelhatch.core.peers import is_minority
from dotterelhatch.core.peersums import REPORT_LIFETIME_SECONDS
from dotterelhatch.core.prompts import Prompt, PromptPart, SentPrompt
from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.core.routes import (
    EngineSpec,
    RouteKind,
    RouteRule,
    ServiceShare,
    ServiceSpec,
)
from dotterelhatch.core.speeds import TargetSpeeds
from dotterelhatch.core.targethealth import AttemptOutcome, TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.ids import (
    FailureDomain,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from emulator.engine import MEMORY_TOKENS, SLOTS_COUNT
from emulator.patterns import Pattern, RequestKind

__all__ = ('POLICIES', 'IncomingRequest', 'Policy')

_SERVICE: Final = ServiceId('usta-model')


class IncomingRequest:
    """A request as it arrives at a router.

    :param age_seconds: time since the caller sent it for the first time.
    """

    def __init__(
        self,
        kind: RequestKind,
        organisation: str,
        parts: tuple[tuple[str, int], ...],
        age_seconds: float,
    ) -> None:
        """Store the request with its prompt."""
        self.kind = kind
        self.organisation = OrganisationId(organisation)
        self.age_seconds = age_seconds
        self.prompt = Prompt(
            tuple(PromptPart(name, tokens) for name, tokens in parts),
            sum(tokens for _, tokens in parts),
            kind.output_tokens * kind.declared_factor,
        )

    @property
    def tokens(self) -> int:
        """Return the usage by which organisations are compared."""
        return self.prompt.usage_tokens


class Policy(Protocol):
    """Routing decisions of one router.

    Placed requests are numbered from 0 in the order of :meth:`choose`; the
    number is their ``request_index``.
    """

    name: RouterId

    def choose(
        self, request: IncomingRequest, now_seconds: float
    ) -> int | None:
        """Return the index of an engine, None to reject the request."""

    def send_heartbeats(
        self, others: list['Policy'], now_seconds: float
    ) -> None:
        """Send load and usage to the other routers."""

    def on_first_event(
        self, request_index: int, now_seconds: float, *, is_leaving: bool
    ) -> None:
        """Record the first event of a request.

        :param is_leaving: whether the engine says that it leaves.
        """

    def on_request_end(self, request_index: int, now_seconds: float) -> None:
        """Record the end of a request."""

    def on_pause(
        self, request_index: int, pause_seconds: float, now_seconds: float
    ) -> None:
        """Record a rejection by an engine that asks for a pause."""

    def on_started(self, engine: int, now_seconds: float) -> None:
        """Record that an engine has started again."""


POLICIES: Final[dict[str, Callable[..., 'Policy']]] = {}


def _policy(
    name: str,
) -> Callable[[Callable[..., 'Policy']], Callable[..., 'Policy']]:
    """Register a policy under a name."""

    def register(make: Callable[..., 'Policy']) -> Callable[..., 'Policy']:
        POLICIES[name] = make
        return make

    return register


@_policy('least-requests')
class LeastRequests:
    """Baseline: the engine with the fewest requests; never rejects any."""

    def __init__(
        self,
        name: str,
        engines_count: int,
        rng: random.Random,
        pattern: Pattern,
    ) -> None:
        """Start without requests."""
        self.name = RouterId(name)
        self._counts = [0] * engines_count
        self._engine_by_request: list[int] = []
        self._rng = rng

    def choose(
        self, request: IncomingRequest, now_seconds: float
    ) -> int | None:
        """Return the engine with the fewest requests."""
        least = min(self._counts)
        engine = self._rng.choice(
            [
                index
                for index, count in enumerate(self._counts)
                if count == least
            ]
        )
        self._counts[engine] += 1
        self._engine_by_request.append(engine)
        return engine

    def send_heartbeats(self, others: list[Policy], now_seconds: float) -> None:
        """Do nothing; the baseline shares no state."""

    def on_first_event(
        self, request_index: int, now_seconds: float, *, is_leaving: bool
    ) -> None:
        """Do nothing."""

    def on_request_end(self, request_index: int, now_seconds: float) -> None:
        """Remove the request from the count of its engine."""
        self._counts[self._engine_by_request[request_index]] -= 1

    def on_pause(
        self, request_index: int, pause_seconds: float, now_seconds: float
    ) -> None:
        """Remove the request from the count of its engine."""
        self.on_request_end(request_index, now_seconds)

    def on_started(self, engine: int, now_seconds: float) -> None:
        """Do nothing."""


@_policy('gateway')
class GatewayPolicy:
    """Policy of the gateway, with its own sans-I/O classes."""

    learns_speeds = False

    def __init__(
        self,
        name: str,
        engines_count: int,
        rng: random.Random,
        pattern: Pattern,
    ) -> None:
        """Register the engines as targets."""
        self.name = RouterId(name)
        domain = FailureDomain('konya')
        self._service = ServiceSpec(
            _SERVICE,
            EngineSpec(SLOTS_COUNT, pattern.memory_tokens or MEMORY_TOKENS),
        )
        self._shortest_objective_seconds = min(
            kind.objective_seconds for kind in pattern.kinds
        )
        self._entries = [
            _entry(index, domain) for index in range(engines_count)
        ]
        self._registry = TargetRegistry()
        self._registry.apply(self._entries, 0)
        self._load_tracker = LoadTracker()
        self._health = TargetHealth()
        self._fair_shares = FairShareTracker(4.0)
        self._window = AdmissionWindow()
        self._speeds = TargetSpeeds(self._registry.find)
        self._balancer = Balancer(
            BalancerSettings(domain),
            self._registry,
            self._load_tracker,
            self._health,
            TargetLimits(RouterId('router'), dict),
            rng,
            BalancerExtensions(
                speeds=self._speeds if self.learns_speeds else None
            ),
        )
        self._in_flight: list[
            tuple[InFlightRequest, Placement, IncomingRequest]
        ] = []
        self._sent: list[SentPrompt] = []
        self._heard_seconds: dict[RouterId, float] = {}

    def choose(
        self, request: IncomingRequest, now_seconds: float
    ) -> int | None:
        """Return the choice of the balancer."""
        if not request.age_seconds:
            self._fair_shares.on_arrived(
                request.organisation, request.tokens, now_seconds
            )
        chosen = self._balancer.place(
            self._placement_request(request, now_seconds), (), now_seconds
        )
        is_placed = isinstance(chosen, Placement)
        if not request.age_seconds:
            self._window.add(request.kind.name, now_seconds, admitted=is_placed)
        if not isinstance(chosen, Placement):
            return None
        target = chosen.entry.id
        in_flight = self._load_tracker.start(target, chosen.load, now_seconds)
        self._health.on_sent(target, now_seconds)
        self._in_flight.append((in_flight, chosen, request))
        sent = SentPrompt(target, request.prompt.parts, chosen.spare_tokens)
        self._balancer.cache.on_sent(sent)
        self._balancer.memory.on_sent(sent, now_seconds)
        self._sent.append(sent)
        self._fair_shares.on_placed(
            request.organisation, request.tokens, now_seconds
        )
        return int(target.removeprefix('m'))

    def send_heartbeats(self, others: list[Policy], now_seconds: float) -> None:
        """Report load, usage, admissions and sent prompts to the others."""
        loads: dict[TargetId, TargetLoad] = dict(self._load_tracker.local_loads)
        usages = dict(self._fair_shares.local_usages)
        counts = dict(self._window.local_counts(now_seconds))
        self._expire_reports(now_seconds)
        speeds = self._speeds.report(now_seconds)
        for other in others:
            if isinstance(other, GatewayPolicy):
                other._heard_seconds[self.name] = now_seconds
                other._load_tracker.on_report(self.name, loads, now_seconds)
                other._fair_shares.on_report(self.name, usages, now_seconds)
                other._window.on_report(self.name, counts, now_seconds)
                other._speeds.on_report(self.name, speeds, now_seconds)
                for sent in self._sent:
                    other._balancer.cache.on_sent(sent)
                    other._balancer.memory.on_sent(sent, now_seconds)
        self._sent.clear()

    def on_first_event(
        self, request_index: int, now_seconds: float, *, is_leaving: bool
    ) -> None:
        """Record the latency of the first event, and whether it leaves."""
        in_flight, placement, request = self._in_flight[request_index]
        in_flight.on_first_event()
        if is_leaving:
            self._registry.mark_leaving(placement.entry)
        self._balancer.pauses.on_answer(
            placement.entry, None, in_flight.started_seconds, now_seconds
        )
        self._health.on_received(in_flight.target, now_seconds)
        taken_seconds = now_seconds - in_flight.started_seconds
        self._health.on_latency(
            in_flight.target, placement.expected_seconds, taken_seconds
        )
        self._load_tracker.on_begun(
            in_flight.target,
            taken_seconds - placement.expected_seconds,
            now_seconds,
        )
        self._speeds.on_first_event(
            placement.entry,
            request.organisation,
            placement.queued_tokens + placement.load.unread_tokens,
            placement.running_count,
            now_seconds - in_flight.started_seconds,
            now_seconds,
        )

    def on_request_end(self, request_index: int, now_seconds: float) -> None:
        """Remove the request from the load of its engine."""
        in_flight, _, request = self._in_flight[request_index]
        in_flight.end()
        self._balancer.memory.on_finished(
            FinishedStream(
                _SERVICE,
                request.kind.name,
                request.prompt,
                request.kind.output_tokens,
                now_seconds - in_flight.started_seconds,
            )
        )
        self._health.on_ended(
            in_flight.target, AttemptOutcome.ANSWERED, now_seconds
        )

    def on_pause(
        self, request_index: int, pause_seconds: float, now_seconds: float
    ) -> None:
        """Keep to the pause."""
        in_flight, placement, _ = self._in_flight[request_index]
        in_flight.end()
        self._health.on_ended(
            in_flight.target, AttemptOutcome.SHED, now_seconds
        )
        self._balancer.pauses.on_answer(
            placement.entry,
            pause_seconds,
            in_flight.started_seconds,
            now_seconds,
        )

    def on_started(self, engine: int, now_seconds: float) -> None:
        """Use the new start of the engine."""
        self._entries[engine] = replace(
            self._entries[engine], started_ms=round(now_seconds * 1000)
        )
        self._registry.apply(self._entries, now_seconds)

    def _expire_reports(self, now_seconds: float) -> None:
        live_count = sum(
            now_seconds - heard_seconds <= REPORT_LIFETIME_SECONDS
            for heard_seconds in self._heard_seconds.values()
        )
        self._load_tracker.expire(
            now_seconds,
            is_isolated=is_minority(live_count, len(self._heard_seconds)),
        )

    def _placement_request(
        self, request: IncomingRequest, now_seconds: float
    ) -> PlacementRequest:
        kind = request.kind
        return PlacementRequest(
            route=_route(kind),
            service=self._service,
            prompt=request.prompt,
            remaining_seconds=kind.deadline_seconds - request.age_seconds,
            shortest_objective_seconds=self._shortest_objective_seconds,
            factors=AdmissionFactors(
                request.age_seconds,
                self._fair_shares.fair_share_ratio(
                    request.organisation, now_seconds
                ),
                self._window.rejection_rate(now_seconds),
                self._window.route_admission_ratio(kind.name, now_seconds),
            ),
        )


@_policy('gateway-speeds')
class LearningGatewayPolicy(GatewayPolicy):
    """Policy of a gateway that learns the speed of its targets."""

    learns_speeds = True


def _entry(index: int, domain: FailureDomain) -> TargetEntry:
    return TargetEntry(
        id=TargetId(f'm{index}'),
        service=_SERVICE,
        address='10.0.0.1:80',
        failure_domain=domain,
        state=TargetState.READY,
        slots_count=SLOTS_COUNT,
    )


def _route(kind: RequestKind) -> RouteRule:
    return RouteRule(
        name=kind.name,
        host='h',
        path_prefix='/',
        kind=RouteKind.STREAMING,
        timeout_seconds=kind.deadline_seconds,
        objective_seconds=kind.objective_seconds,
        shares=(ServiceShare(_SERVICE, 1),),
    )
