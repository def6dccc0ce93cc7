"""Slots of the targets that this router is home to."""

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
from dotterelhatch.fleet import Service, Target
from dotterelhatch.ids import (
    GrantId,
    OrganisationId,
    RouterId,
    TargetId,
)

__all__ = ('GrantScheduler', 'IssuedGrant', 'TargetHealth')

# Grant ids start at a random number so that ids of successive homes of a
# target do not collide in the lists that entry routers report.
_GRANT_ID_BITS: Final = 48
# A grant younger than this may still be on its way to the entry router. It is
# sent again after a failed call, until the router answers or is dead: two
# calls of 1 s, 3 s of suspicion and one period.
_UNLISTED_AFTER_SECONDS: Final = 6.0
# A new home grants when all routers have reported the grants that they hold
# for the target, or is dead. The limit is for a router that answers calls but
# whose lists do not arrive: several lists in a row may be late by seconds.
_SETTLE_SECONDS: Final = 8.0
# A copy of a request that has just crashed a target must not be granted
# before its entry router has heard of the crash.
_REPORT_SPREAD_SECONDS: Final = 2.0
_FIRST_PROBE_SECONDS: Final = 0.5
_LONGEST_PROBE_SECONDS: Final = 15.0


class TargetHealth(enum.Enum):
    """Whether a home grants slots of a target."""

    UP = 'up'
    DOWN = 'down'


class IssuedGrant(NamedTuple):
    """A grant and the entry router that it is for."""

    router: RouterId
    grant: Grant


@dataclass
class _Outstanding:
    """A grant in use.

    :param listed_from_seconds: from then on its entry router lists it as long
        as it is in use.
    """

    router: RouterId
    organisation: OrganisationId
    request_class: RequestClass
    charged_units: float
    listed_from_seconds: float


@dataclass
class _TargetSlots:
    target: Target
    settled_at_seconds: float
    reporters: frozenset[RouterId]
    reported: set[RouterId] = field(default_factory=set)
    paused_until_seconds: float = float('-inf')
    health: TargetHealth = TargetHealth.UP
    probe_at_seconds: float = 0.0
    isolate_at_seconds: float = float('-inf')
    probe_delay_seconds: float = _FIRST_PROBE_SECONDS
    outstanding: dict[GrantId, _Outstanding] = field(default_factory=dict)

    def may_grant(self, now_seconds: float) -> bool:
        if now_seconds < self.paused_until_seconds:
            return False
        return self.is_settled(now_seconds)

    def is_settled(self, now_seconds: float) -> bool:
        if now_seconds < self.settled_at_seconds:
            if self.reporters <= self.reported:
                self.settled_at_seconds = now_seconds
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
    short_count: int
    long_count: int
    isolated_targets: list[TargetId]
    estimate_units: float
    since_seconds: float
    served_at_seconds: float = float('-inf')

    @property
    def total_count(self) -> int:
        return self.short_count + self.long_count + len(self.isolated_targets)


class GrantScheduler:
    """Grants the slots of one service's targets in fair order."""

    def __init__(
        self, service: Service, ledger: ServiceLedger, rng: random.Random
    ) -> None:
        """Start without targets and without demand."""
        self.ledger = ledger
        self._service = service
        self._order = FairOrder(ledger)
        self._slots: dict[TargetId, _TargetSlots] = {}
        self._demands: dict[OrganisationId, dict[RouterId, _RouterDemand]] = {}
        self._idle_since: dict[OrganisationId, float] = {}
        self._next_grant_id = rng.getrandbits(_GRANT_ID_BITS)
        # Reports of routers that learned of a change of homes before this
        # one did. Without them the slots idle for the settling time.
        self._early_held: dict[
            tuple[TargetId, RouterId], tuple[float, HeldGrants]
        ] = {}

    def configure(
        self, service: Service, weights: dict[OrganisationId, float]
    ) -> None:
        """Apply a configuration."""
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
        """Set the targets that this router is home to.

        :param reporters: routers that may hold grants of former homes.
        """
        settled_at = now_seconds + _SETTLE_SECONDS
        for lost in self._slots.keys() - targets.keys():
            self._slots.pop(lost)
        for name, target in targets.items():
            known = name in self._slots
            slots = self._slots.setdefault(
                name, _TargetSlots(target, settled_at, reporters)
            )
            slots.target = target
            if not slots.is_settled(now_seconds):
                slots.reporters = reporters
            if not known:
                self._take_early_held(name, now_seconds)

    def pause(self, until_seconds: float) -> None:
        """Issue no grant before a time and forget all demand."""
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
        entry = _RouterDemand(
            demand.short_count,
            demand.long_count,
            list(demand.isolated_targets),
            demand.estimate_units,
            now_seconds - demand.waited_seconds,
        )
        if former is not None:
            entry.served_at_seconds = former.served_at_seconds
        if entry.total_count:
            by_router[router] = entry
            self._activate(organisation, now_seconds)
        self._drop_if_idle(organisation, now_seconds)

    def on_held(
        self, router: RouterId, held: HeldGrants, now_seconds: float
    ) -> None:
        """Reconcile the grants of a target with an entry router's list."""
        slots = self._slots.get(held.target)
        if slots is None:
            self._early_held[held.target, router] = (now_seconds, held)
            return
        slots.reported.add(router)
        listed = {one.grant_id: one for one in held.grants}
        for grant_id, known in tuple(slots.outstanding.items()):
            missing = known.router == router and grant_id not in listed
            if missing and now_seconds >= known.listed_from_seconds:
                slots.outstanding.pop(grant_id)
                self.ledger.charge(known.organisation, -known.charged_units)
        for grant_id, one in listed.items():
            slots.outstanding.setdefault(
                grant_id,
                _Outstanding(
                    router,
                    one.organisation,
                    one.request_class,
                    one.units,
                    now_seconds,
                ),
            )

    def on_charge(self, charge: Charge) -> None:
        """Raise the charge of a running request to its cost so far."""
        known = self._outstanding(charge.target, charge.grant_id)
        if known is not None and charge.units > known.charged_units:
            self._correct(known, charge.units)

    def on_release(self, release: Release, now_seconds: float) -> None:
        """Free the slot of a grant and settle its charge."""
        slots = self._slots.get(release.target)
        if slots is None:
            return
        known = slots.outstanding.pop(release.grant_id, None)
        if known is not None:
            self._correct(known, release.units)
            if not release.unused:
                self._order.observe_cost(release.units)
        if release.target_failed:
            slots.isolate_at_seconds = now_seconds + _REPORT_SPREAD_SECONDS
        if release.target_failed and slots.health is TargetHealth.UP:
            slots.health = TargetHealth.DOWN
            slots.probe_delay_seconds = _FIRST_PROBE_SECONDS
            slots.probe_at_seconds = now_seconds

    def forget_router(self, router: RouterId, now_seconds: float) -> None:
        """Drop demand and grants of an entry router that is gone."""
        self.forget_demand(router, now_seconds)
        for slots in self._slots.values():
            for grant_id, known in tuple(slots.outstanding.items()):
                if known.router == router:
                    slots.outstanding.pop(grant_id)

    def forget_demand(self, router: RouterId, now_seconds: float) -> None:
        """Drop the demand of an entry router."""
        for organisation, by_router in tuple(self._demands.items()):
            by_router.pop(router, None)
            self._drop_if_idle(organisation, now_seconds)

    def probes_due(self, now_seconds: float) -> list[Target]:
        """Return the targets to probe on a fresh connection now."""
        due = [
            slots
            for slots in self._slots.values()
            if slots.health is TargetHealth.DOWN
            and now_seconds >= slots.probe_at_seconds
        ]
        for probed in due:
            probed.probe_at_seconds = now_seconds + probed.probe_delay_seconds
            probed.probe_delay_seconds = min(
                2 * probed.probe_delay_seconds, _LONGEST_PROBE_SECONDS
            )
        return [one.target for one in due]

    def on_probe(self, target: TargetId, *, healthy: bool) -> None:
        """Take over the result of a probe."""
        slots = self._slots.get(target)
        if slots is not None and healthy:
            slots.health = TargetHealth.UP

    def free_count(self, now_seconds: float) -> int:
        """Return how many slots could be granted now."""
        return sum(slots.free_count for slots in self._usable(now_seconds))

    def active(self) -> frozenset[OrganisationId]:
        """Return the organisations with demand."""
        return frozenset(self._demands)

    def slots_count(self) -> int:
        """Return the slots of the targets of this home."""
        return sum(one.target.slots_count for one in self._slots.values())

    def in_use_count(self, target: TargetId) -> int | None:
        """Return the slots in use, None when another router is home."""
        slots = self._slots.get(target)
        return None if slots is None else len(slots.outstanding)

    def targets(self) -> frozenset[TargetId]:
        """Return the targets of this home."""
        return frozenset(self._slots)

    def grants(self, now_seconds: float) -> list[IssuedGrant]:
        """Issue grants while slots are free and requests wait."""
        issued: list[IssuedGrant] = []
        while self._demands:
            free = [one for one in self._usable(now_seconds) if one.free_count]
            if not free:
                break
            grant = self._grant_isolated(free, now_seconds)
            if grant is None:
                grant = self._grant_ordered(free, now_seconds)
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
                    'health': slots.health.value,
                }
                for name, slots in self._slots.items()
            },
            'demand': {
                organisation: {
                    router: entry.total_count
                    for router, entry in by_router.items()
                }
                for organisation, by_router in self._demands.items()
            },
            'order': self._order.dump(),
            'ledger': self.ledger.dump(now_seconds),
        }

    def _take_early_held(self, target: TargetId, now_seconds: float) -> None:
        for place, (at_seconds, held) in tuple(self._early_held.items()):
            if place[0] != target:
                continue
            self._early_held.pop(place)
            if now_seconds - at_seconds <= _SETTLE_SECONDS:
                self.on_held(place[1], held, now_seconds)

    def _usable(self, now_seconds: float) -> Iterable[_TargetSlots]:
        return (
            slots
            for slots in self._slots.values()
            if slots.health is TargetHealth.UP
            and slots.may_grant(now_seconds)
            and not slots.target.drained
        )

    def _outstanding(
        self, target: TargetId, grant_id: GrantId
    ) -> _Outstanding | None:
        slots = self._slots.get(target)
        return None if slots is None else slots.outstanding.get(grant_id)

    def _correct(self, known: _Outstanding, units: float) -> None:
        self.ledger.charge(known.organisation, units - known.charged_units)
        known.charged_units = units

    def _activate(
        self, organisation: OrganisationId, now_seconds: float
    ) -> None:
        idle_since = self._idle_since.pop(organisation, None)
        known = idle_since is not None
        if known and now_seconds - (idle_since or 0) > IDLE_AFTER_SECONDS:
            self.ledger.lift(organisation)

    def _drop_if_idle(
        self, organisation: OrganisationId, now_seconds: float
    ) -> None:
        if not self._demands.get(organisation):
            self._demands.pop(organisation, None)
            self._idle_since.setdefault(organisation, now_seconds)

    def _grant_isolated(
        self, free: list[_TargetSlots], now_seconds: float
    ) -> IssuedGrant | None:
        for slots in free:
            if slots.has_isolated or now_seconds < slots.isolate_at_seconds:
                continue
            waiting = [
                name
                for name, by_router in self._demands.items()
                if _wants(by_router.values(), slots.target.id)
            ]
            if waiting:
                organisation = min(waiting, key=self._order.key)
                return self._issue(
                    organisation, RequestClass.ISOLATED, [slots], now_seconds
                )
        return None

    def _grant_ordered(
        self, free: list[_TargetSlots], now_seconds: float
    ) -> IssuedGrant | None:
        choice = self._order.choose(self._candidates(now_seconds))
        if choice is None:
            return None
        return self._issue(
            choice.organisation, _class_of(choice), free, now_seconds
        )

    def _candidates(self, now_seconds: float) -> Iterable[Candidate]:
        for organisation, by_router in self._demands.items():
            entries = [
                entry
                for entry in by_router.values()
                if entry.short_count or entry.long_count
            ]
            if entries:
                yield Candidate(
                    organisation,
                    any(entry.short_count for entry in entries),
                    any(entry.long_count for entry in entries),
                    now_seconds - min(one.since_seconds for one in entries),
                )

    def _issue(
        self,
        organisation: OrganisationId,
        request_class: RequestClass,
        places: list[_TargetSlots],
        now_seconds: float,
    ) -> IssuedGrant:
        slots = max(places, key=_free_share)
        router, entry = self._entry_router(
            organisation, request_class, slots.target.id
        )
        grant = Grant(
            GrantId(self._next_grant_id),
            self._service.id,
            organisation,
            slots.target.id,
            request_class,
            entry.estimate_units,
        )
        self._next_grant_id += 1
        slots.outstanding[grant.grant_id] = _Outstanding(
            router,
            organisation,
            request_class,
            grant.charged_units,
            now_seconds + _UNLISTED_AFTER_SECONDS,
        )
        self.ledger.charge(organisation, grant.charged_units)
        self._take_one(router, grant, now_seconds)
        return IssuedGrant(router, grant)

    def _entry_router(
        self,
        organisation: OrganisationId,
        request_class: RequestClass,
        target: TargetId,
    ) -> tuple[RouterId, _RouterDemand]:
        waiting = [
            (router, entry)
            for router, entry in self._demands[organisation].items()
            if _count(entry, request_class, target)
        ]
        return min(
            waiting,
            key=lambda one: (one[1].served_at_seconds, one[1].since_seconds),
        )

    def _take_one(
        self, router: RouterId, grant: Grant, now_seconds: float
    ) -> None:
        entry = self._demands[grant.organisation][router]
        if grant.request_class is RequestClass.SHORT:
            entry.short_count -= 1
        elif grant.request_class is RequestClass.LONG:
            entry.long_count -= 1
        else:
            entry.isolated_targets.remove(grant.target)
        entry.served_at_seconds = now_seconds
        if not entry.total_count:
            self._demands[grant.organisation].pop(router)
        self._drop_if_idle(grant.organisation, now_seconds)


def _class_of(choice: Choice) -> RequestClass:
    return RequestClass.SHORT if choice.short else RequestClass.LONG


def _count(
    entry: _RouterDemand, request_class: RequestClass, target: TargetId
) -> int:
    if request_class is RequestClass.SHORT:
        return entry.short_count
    if request_class is RequestClass.LONG:
        return entry.long_count
    return entry.isolated_targets.count(target)


def _wants(entries: Iterable[_RouterDemand], target: TargetId) -> bool:
    return any(target in entry.isolated_targets for entry in entries)


def _free_share(slots: _TargetSlots) -> float:
    return slots.free_count / slots.target.slots_count
