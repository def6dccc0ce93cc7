"""Grants for the slots of the targets that this router coordinates."""

import enum
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from dotterelhatch.core.fairness import Candidate, Choice, FairOrder
from dotterelhatch.core.ledger import IDLE_AFTER_SECONDS, ServiceLedger
from dotterelhatch.core.messages import (
    Charge,
    Demand,
    Grant,
    HeldGrants,
    Release,
    RequestClass,
)
from dotterelhatch.core.targetpauses import TargetPauses
from dotterelhatch.fleet import Service, Target
from dotterelhatch.ids import (
    GrantId,
    OrganisationId,
    RouterId,
    TargetId,
)

__all__ = ('GrantScheduler', 'IssuedGrant', 'TargetAvailability')

# Grant ids start at a random number, so that the ids of successive
# coordinators of a target do not collide in the held grants that entry
# routers report.
_GRANT_ID_BITS: Final = 48
# A grant may be missing from the entry router's held grants for this long,
# because it may still be in transit. It is sent again after a failed call,
# until the router replies or is dead: two calls of 1 s, 3 s of suspicion and
# one exchange period.
_GRANT_TRANSIT_SECONDS: Final = 6.0
# A new coordinator of a target issues no grants until each router has
# reported its held grants for the target, or is dead. The limit is for a
# router that replies to calls but whose reports do not arrive: several
# reports in a row may be late by seconds.
_TAKEOVER_LIMIT_SECONDS: Final = 8.0
# A copy of a request that has just crashed a target must not get a grant
# before its entry router has received the crash report.
_CRASH_REPORT_SECONDS: Final = 2.0
_FIRST_PROBE_DELAY_SECONDS: Final = 0.5
_MILLISECONDS_PER_SECOND: Final = 1000
_MAX_PROBE_DELAY_SECONDS: Final = 15.0


class TargetAvailability(enum.Enum):
    """Whether a target accepts connections, so that grants may be issued."""

    UP = 'up'
    DOWN = 'down'


class _TargetStart(NamedTuple):
    """A target, of which the scheduler does not know when it started."""

    id: TargetId
    started_ms: int = 0


class IssuedGrant(NamedTuple):
    """A grant and the entry router that receives it."""

    router: RouterId
    grant: Grant


@dataclass
class _OutstandingGrant:
    """A grant that was issued and not released yet.

    :param listed_from_seconds: from this time on, the entry router's held
        grants contain it for as long as it is in use.
    """

    router: RouterId
    organisation: OrganisationId
    request_class: RequestClass
    charged_units: float
    listed_from_seconds: float
    issued_seconds: float


@dataclass
class _TargetSlots:
    """Slots of one target, with its grants, availability and takeover.

    :param reporters: routers whose held grants must be known before the
        takeover from the former coordinator is complete.
    :param reported: routers that have reported their held grants.
    :param isolation_from_seconds: when the next isolated request may run.
    """

    target: Target
    takeover_deadline_seconds: float
    reporters: frozenset[RouterId]
    reported: set[RouterId] = field(default_factory=set)
    paused_until_seconds: float = float('-inf')
    availability: TargetAvailability = TargetAvailability.UP
    probe_at_seconds: float = 0.0
    isolation_from_seconds: float = float('-inf')
    probe_delay_seconds: float = _FIRST_PROBE_DELAY_SECONDS
    outstanding: dict[GrantId, _OutstandingGrant] = field(default_factory=dict)

    def may_grant(self, now_seconds: float) -> bool:
        if now_seconds < self.paused_until_seconds:
            return False
        return self.is_takeover_complete(now_seconds)

    def is_takeover_complete(self, now_seconds: float) -> bool:
        if now_seconds < self.takeover_deadline_seconds:
            if self.reporters <= self.reported:
                self.takeover_deadline_seconds = now_seconds
                return True
            return False
        return True

    @property
    def free_count(self) -> int:
        return max(0, self.target.slots_count - len(self.outstanding))

    @property
    def has_isolated(self) -> bool:
        return any(
            held.request_class is RequestClass.ISOLATED
            for held in self.outstanding.values()
        )


@dataclass
class _RouterDemand:
    """Waiting requests of one organisation at one entry router."""

    short_count: int
    long_count: int
    isolated_targets: list[TargetId]
    estimate_units: float
    oldest_seconds: float
    served_at_seconds: float = float('-inf')

    @property
    def total_count(self) -> int:
        return self.short_count + self.long_count + len(self.isolated_targets)


class GrantScheduler:
    """Issues grants for the targets of one service in fair order.

    It tracks the targets that this router coordinates, the demand that entry
    routers report, and the grants that are in use.
    """

    def __init__(
        self, service: Service, ledger: ServiceLedger, rng: random.Random
    ) -> None:
        """Create the scheduler without targets and demand."""
        self.ledger = ledger
        self._service = service
        self._fair_order = FairOrder(ledger)
        self._slots: dict[TargetId, _TargetSlots] = {}
        self._pauses = TargetPauses()
        self._demands: dict[OrganisationId, dict[RouterId, _RouterDemand]] = {}
        self._idle_since: dict[OrganisationId, float] = {}
        self._next_grant_id = rng.getrandbits(_GRANT_ID_BITS)
        # Held grants from routers that applied a new assignment before this
        # router did. Without them the slots would stay unused until the limit
        # of the takeover.
        self._early_reports: dict[
            tuple[TargetId, RouterId], tuple[float, HeldGrants]
        ] = {}

    def configure(
        self, service: Service, weights: dict[OrganisationId, float]
    ) -> None:
        """Apply a changed configuration."""
        self._service = service
        self.ledger.set_weights(weights)
        for unknown in self._demands.keys() - weights.keys():
            self._demands.pop(unknown)

    def set_targets(
        self,
        targets: Mapping[TargetId, Target],
        now_seconds: float,
        reporters: frozenset[RouterId],
    ) -> None:
        """Set the targets that this router coordinates.

        :param reporters: routers that may hold grants of former
            coordinators.
        """
        takeover_deadline = now_seconds + _TAKEOVER_LIMIT_SECONDS
        for removed in self._slots.keys() - targets.keys():
            self._slots.pop(removed)
        for name, target in targets.items():
            is_known = name in self._slots
            slots = self._slots.setdefault(
                name, _TargetSlots(target, takeover_deadline, reporters)
            )
            slots.target = target
            if not slots.is_takeover_complete(now_seconds):
                slots.reporters = reporters
            if not is_known:
                self._apply_early_reports(name, now_seconds)

    def pause(self, until_seconds: float) -> None:
        """Issue no grants until a time, and discard all demand."""
        self._demands.clear()
        for slots in self._slots.values():
            slots.paused_until_seconds = until_seconds

    def on_demand(
        self, router: RouterId, demand: Demand, now_seconds: float
    ) -> None:
        """Replace the demand of an organisation at an entry router."""
        organisation = demand.organisation
        by_router = self._demands.setdefault(organisation, {})
        former = by_router.pop(router, None)
        router_demand = _RouterDemand(
            demand.short_count,
            demand.long_count,
            list(demand.isolated_targets),
            demand.estimate_units,
            now_seconds - demand.waited_seconds,
        )
        if former is not None:
            router_demand.served_at_seconds = former.served_at_seconds
        if router_demand.total_count:
            by_router[router] = router_demand
            self._mark_active(organisation, now_seconds)
        self._remove_if_idle(organisation, now_seconds)

    def on_held(
        self, router: RouterId, held: HeldGrants, now_seconds: float
    ) -> None:
        """Reconcile the grants of a target with an entry router's report."""
        slots = self._slots.get(held.target)
        if slots is None:
            self._early_reports[held.target, router] = (now_seconds, held)
            return
        slots.reported.add(router)
        listed = {one.grant_id: one for one in held.grants}
        for grant_id, issued in tuple(slots.outstanding.items()):
            missing = issued.router == router and grant_id not in listed
            if missing and now_seconds >= issued.listed_from_seconds:
                slots.outstanding.pop(grant_id)
                self.ledger.charge(issued.organisation, -issued.charged_units)
        for grant_id, one in listed.items():
            slots.outstanding.setdefault(
                grant_id,
                _OutstandingGrant(
                    router,
                    one.organisation,
                    one.request_class,
                    one.units,
                    now_seconds,
                    now_seconds,
                ),
            )

    def on_charge(self, charge: Charge) -> None:
        """Raise the charge of a running request to its cost so far."""
        issued = self._find_grant(charge.target, charge.grant_id)
        if issued is not None and charge.units > issued.charged_units:
            self._adjust_charge(issued, charge.units)

    def on_release(self, release: Release, now_seconds: float) -> None:
        """Free the slot of a grant and charge its final cost."""
        slots = self._slots.get(release.target)
        if slots is None:
            return
        issued = slots.outstanding.pop(release.grant_id, None)
        if issued is not None:
            self._adjust_charge(issued, release.units)
            if not release.unused:
                self._fair_order.observe_cost(release.units)
            self._apply_pause(release, issued.issued_seconds, now_seconds)
        if release.target_failed:
            slots.isolation_from_seconds = now_seconds + _CRASH_REPORT_SECONDS
        if (
            release.target_failed
            and slots.availability is TargetAvailability.UP
        ):
            slots.availability = TargetAvailability.DOWN
            slots.probe_delay_seconds = _FIRST_PROBE_DELAY_SECONDS
            slots.probe_at_seconds = now_seconds

    def _apply_pause(
        self, release: Release, issued_seconds: float, now_seconds: float
    ) -> None:
        """Apply a pause that the target asked for, or the test after one."""
        start = _TargetStart(release.target)
        has_answer = not (release.unused or release.target_failed)
        if not (has_answer or release.pause_milliseconds):
            self._pauses.on_unanswered(start, issued_seconds)
            return
        self._pauses.on_answer(
            start,
            release.pause_milliseconds / _MILLISECONDS_PER_SECOND,
            issued_seconds,
            now_seconds,
        )

    def remove_router(self, router: RouterId, now_seconds: float) -> None:
        """Remove the demand and the grants of an unreachable router."""
        self.remove_demand(router, now_seconds)
        for slots in self._slots.values():
            for grant_id, issued in tuple(slots.outstanding.items()):
                if issued.router == router:
                    slots.outstanding.pop(grant_id)

    def remove_demand(self, router: RouterId, now_seconds: float) -> None:
        """Remove the demand of an entry router."""
        for organisation, by_router in tuple(self._demands.items()):
            by_router.pop(router, None)
            self._remove_if_idle(organisation, now_seconds)

    def probes_due(self, now_seconds: float) -> list[Target]:
        """Return the targets to probe on a new connection now."""
        due = [
            slots
            for slots in self._slots.values()
            if slots.availability is TargetAvailability.DOWN
            and now_seconds >= slots.probe_at_seconds
            and not self._is_paused(slots, now_seconds)
        ]
        for probed in due:
            probed.probe_at_seconds = now_seconds + probed.probe_delay_seconds
            probed.probe_delay_seconds = min(
                2 * probed.probe_delay_seconds, _MAX_PROBE_DELAY_SECONDS
            )
        return [one.target for one in due]

    def on_probe(self, target: TargetId, *, healthy: bool) -> None:
        """Apply the result of a probe."""
        slots = self._slots.get(target)
        if slots is not None and healthy:
            slots.availability = TargetAvailability.UP

    def free_count(self, now_seconds: float) -> int:
        """Return how many slots could be granted now."""
        return sum(slots.free_count for slots in self._usable(now_seconds))

    def active_organisations(self) -> frozenset[OrganisationId]:
        """Return the organisations with demand."""
        return frozenset(self._demands)

    def slots_count(self) -> int:
        """Return the number of slots of all coordinated targets."""
        return sum(one.target.slots_count for one in self._slots.values())

    def in_use_count(self, target: TargetId) -> int | None:
        """Return the slots in use of a target, None if not coordinated here."""
        slots = self._slots.get(target)
        return None if slots is None else len(slots.outstanding)

    def targets(self) -> frozenset[TargetId]:
        """Return the targets that this router coordinates."""
        return frozenset(self._slots)

    def issue_grants(self, now_seconds: float) -> list[IssuedGrant]:
        """Issue grants while slots are free and requests wait."""
        issued: list[IssuedGrant] = []
        while self._demands:
            free = [one for one in self._usable(now_seconds) if one.free_count]
            if not free:
                break
            grant = self._grant_isolated(free, now_seconds)
            if grant is None:
                grant = self._grant_in_fair_order(free, now_seconds)
            if grant is None:
                break
            issued.append(grant)
        return issued

    def dump(self, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'targets': {
                name: {
                    'slots_count': slots.target.slots_count,
                    'in_use_count': len(slots.outstanding),
                    'health': slots.availability.value,
                    'is_paused': self._is_paused(slots, now_seconds),
                }
                for name, slots in self._slots.items()
            },
            'demand': {
                organisation: {
                    router: router_demand.total_count
                    for router, router_demand in by_router.items()
                }
                for organisation, by_router in self._demands.items()
            },
            'order': self._fair_order.dump(),
            'ledger': self.ledger.dump(now_seconds),
        }

    def _apply_early_reports(
        self, target: TargetId, now_seconds: float
    ) -> None:
        for report_key, (at_seconds, held) in tuple(
            self._early_reports.items()
        ):
            if report_key[0] != target:
                continue
            self._early_reports.pop(report_key)
            if now_seconds - at_seconds <= _TAKEOVER_LIMIT_SECONDS:
                self.on_held(report_key[1], held, now_seconds)

    def _usable(self, now_seconds: float) -> Iterable[_TargetSlots]:
        return (
            slots
            for slots in self._slots.values()
            if slots.availability is TargetAvailability.UP
            and slots.may_grant(now_seconds)
            and not slots.target.drained
            and not self._is_paused(slots, now_seconds)
        )

    def _is_paused(self, slots: _TargetSlots, now_seconds: float) -> bool:
        """Return whether a target wants no requests, or is being tested."""
        start = _TargetStart(slots.target.id)
        return self._pauses.wait_seconds(start, now_seconds) > 0

    def _find_grant(
        self, target: TargetId, grant_id: GrantId
    ) -> _OutstandingGrant | None:
        slots = self._slots.get(target)
        return None if slots is None else slots.outstanding.get(grant_id)

    def _adjust_charge(self, issued: _OutstandingGrant, units: float) -> None:
        self.ledger.charge(issued.organisation, units - issued.charged_units)
        issued.charged_units = units

    def _mark_active(
        self, organisation: OrganisationId, now_seconds: float
    ) -> None:
        idle_since = self._idle_since.pop(organisation, None)
        was_idle = idle_since is not None
        if was_idle and now_seconds - (idle_since or 0) > IDLE_AFTER_SECONDS:
            self.ledger.raise_to_virtual_time(organisation)

    def _remove_if_idle(
        self, organisation: OrganisationId, now_seconds: float
    ) -> None:
        if not self._demands.get(organisation):
            self._demands.pop(organisation, None)
            self._idle_since.setdefault(organisation, now_seconds)

    def _grant_isolated(
        self, free: list[_TargetSlots], now_seconds: float
    ) -> IssuedGrant | None:
        for slots in free:
            if slots.has_isolated or now_seconds < slots.isolation_from_seconds:
                continue
            waiting = [
                name
                for name, by_router in self._demands.items()
                if _has_isolated_demand(by_router.values(), slots.target.id)
            ]
            if waiting:
                organisation = min(
                    waiting, key=self._fair_order.normalised_service
                )
                return self._issue(
                    organisation, RequestClass.ISOLATED, [slots], now_seconds
                )
        return None

    def _grant_in_fair_order(
        self, free: list[_TargetSlots], now_seconds: float
    ) -> IssuedGrant | None:
        choice = self._fair_order.choose(self._candidates(now_seconds))
        if choice is None:
            return None
        return self._issue(
            choice.organisation, _class_to_serve(choice), free, now_seconds
        )

    def _candidates(self, now_seconds: float) -> Iterable[Candidate]:
        for organisation, by_router in self._demands.items():
            router_demands = [
                router_demand
                for router_demand in by_router.values()
                if router_demand.short_count or router_demand.long_count
            ]
            if router_demands:
                yield Candidate(
                    organisation,
                    any(
                        router_demand.short_count
                        for router_demand in router_demands
                    ),
                    any(
                        router_demand.long_count
                        for router_demand in router_demands
                    ),
                    now_seconds
                    - min(one.oldest_seconds for one in router_demands),
                )

    def _issue(
        self,
        organisation: OrganisationId,
        request_class: RequestClass,
        free: list[_TargetSlots],
        now_seconds: float,
    ) -> IssuedGrant:
        slots = max(free, key=_free_fraction)
        router, router_demand = self._entry_router(
            organisation, request_class, slots.target.id
        )
        grant = Grant(
            GrantId(self._next_grant_id),
            self._service.id,
            organisation,
            slots.target.id,
            request_class,
            router_demand.estimate_units,
        )
        self._next_grant_id += 1
        slots.outstanding[grant.grant_id] = _OutstandingGrant(
            router,
            organisation,
            request_class,
            grant.charged_units,
            now_seconds + _GRANT_TRANSIT_SECONDS,
            now_seconds,
        )
        self._pauses.on_placed(_TargetStart(grant.target), now_seconds)
        self.ledger.charge(organisation, grant.charged_units)
        self._consume_demand(router, grant, now_seconds)
        return IssuedGrant(router, grant)

    def _entry_router(
        self,
        organisation: OrganisationId,
        request_class: RequestClass,
        target: TargetId,
    ) -> tuple[RouterId, _RouterDemand]:
        waiting = [
            (router, router_demand)
            for router, router_demand in self._demands[organisation].items()
            if _waiting_count(router_demand, request_class, target)
        ]
        return min(
            waiting,
            key=lambda one: (one[1].served_at_seconds, one[1].oldest_seconds),
        )

    def _consume_demand(
        self, router: RouterId, grant: Grant, now_seconds: float
    ) -> None:
        router_demand = self._demands[grant.organisation][router]
        if grant.request_class is RequestClass.SHORT:
            router_demand.short_count -= 1
        elif grant.request_class is RequestClass.LONG:
            router_demand.long_count -= 1
        else:
            router_demand.isolated_targets.remove(grant.target)
        router_demand.served_at_seconds = now_seconds
        if not router_demand.total_count:
            self._demands[grant.organisation].pop(router)
        self._remove_if_idle(grant.organisation, now_seconds)


def _class_to_serve(choice: Choice) -> RequestClass:
    return RequestClass.SHORT if choice.short else RequestClass.LONG


def _waiting_count(
    router_demand: _RouterDemand, request_class: RequestClass, target: TargetId
) -> int:
    if request_class is RequestClass.SHORT:
        return router_demand.short_count
    if request_class is RequestClass.LONG:
        return router_demand.long_count
    return router_demand.isolated_targets.count(target)


def _has_isolated_demand(
    router_demands: Iterable[_RouterDemand], target: TargetId
) -> bool:
    return any(
        target in router_demand.isolated_targets
        for router_demand in router_demands
    )


def _free_fraction(slots: _TargetSlots) -> float:
    return slots.free_count / slots.target.slots_count
