"""Homes of targets and aggregators of services by rendezvous hashing."""

import heapq
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import mmh3

from dotterelhatch.ids import RouterId, ServiceId, TargetId

__all__ = (
    'aggregator_of',
    'candidates_of',
    'claim_cleaner_of',
    'coordinator_of',
    'coordinators_of',
)

# Most targets get one of their first choices, so the whole order of the
# routers is sorted only for the few targets that need more.
_FIRST_CHOICES: Final = 8
# An entry router and an aggregator talk to each home of a service, so a
# service has no more homes than these many targets each make necessary. The
# least number keeps a lost home from taking more than a quarter of a service.
_TARGETS_PER_COORDINATOR: Final = 6
_MIN_COORDINATOR_COUNT: Final = 4


# A router as seen from one target, the greatest score preferred. A plain tuple
# takes half the time of a named one for 370 routers.
_Choice = tuple[int, RouterId]
# An accepted target with its score.
_Accepted = tuple[int, TargetId]


def coordinator_of(target: TargetId, routers: Iterable[RouterId]) -> RouterId:
    """Return the router with the highest score for a target.

    :param target: the target to place.
    :param routers: usable routers, in any order, at least one.
    :returns: the home when no balance has to be kept.
    :raises ValueError: when there is no router.
    """
    return max(_choices(target, _seeds(routers)))[1]


def coordinators_of(
    targets: Iterable[TargetId], routers: Iterable[RouterId]
) -> dict[TargetId, RouterId]:
    """Return the homes of the targets of one service.

    The pairs of target and router are taken in descending order of their
    score, and a pair is used when the target has no home yet and the router
    has fewer than ``ceil(targets / routers)``. The result depends only on the
    two sets, so routers with the same view agree.

    :param targets: the targets of the service, in any order.
    :param routers: usable routers, in any order.
    :returns: the home of each target, empty when there is no router.
    """
    seeds = _seeds(routers)
    waiting = sorted(set(targets))
    if not seeds:
        return {}
    return _Matching(seeds, -(-len(waiting) // len(seeds))).place(waiting)


def candidates_of(
    target_counts: Mapping[ServiceId, int], routers: Iterable[RouterId]
) -> dict[ServiceId, frozenset[RouterId]]:
    """Return the routers that may be homes of each service.

    The seats of all services are spread together, so that no router is home
    for many services while others have none.

    :param target_counts: the number of targets of each service.
    :param routers: usable routers, in any order.
    :returns: the candidates of each service.
    """
    usable = frozenset(routers)
    wanted = {
        service: max(
            _MIN_COORDINATOR_COUNT, -(-count // _TARGETS_PER_COORDINATOR)
        )
        for service, count in target_counts.items()
    }
    seats = {
        TargetId(f'{service}/{number}'): service
        for service, count in wanted.items()
        for number in range(count)
        if count < len(usable)
    }
    chosen: dict[ServiceId, set[RouterId]] = {one: set() for one in wanted}
    for seat, router in coordinators_of(seats, usable).items():
        chosen[seats[seat]].add(router)
    return {
        service: _filled(service, chosen[service], usable, count)
        for service, count in wanted.items()
    }


def aggregator_of(
    service: ServiceId, coordinators: Iterable[RouterId]
) -> RouterId:
    """Return the home that sums the counters of a service.

    :param service: the service.
    :param homes: routers that are home to a target of it, at least one.
    :returns: the aggregator.
    :raises ValueError: when there is no home.
    """
    # The prefix keeps a target named like the service from sharing its order.
    return max(_choices(f'aggregator/{service}', _seeds(coordinators)))[1]


def claim_cleaner_of(routers: Iterable[RouterId]) -> RouterId:
    """Return the router that deletes expired claims.

    Two routers with different views may both delete, which costs reads only,
    because deletions are conditional on the revision.

    :param routers: usable routers, at least one.
    :raises ValueError: when there is no router.
    """
    return max(_choices('claims/expired', _seeds(routers)))[1]


def _filled(
    service: ServiceId,
    chosen: set[RouterId],
    usable: frozenset[RouterId],
    wanted_count: int,
) -> frozenset[RouterId]:
    """Replace seats of a service that fell to one router."""
    if wanted_count >= len(usable):
        return usable
    missing_count = wanted_count - len(chosen)
    further = _choices(service, _seeds(usable - chosen))
    added = heapq.nlargest(missing_count, further)
    return frozenset(chosen | {router for _score, router in added})


class _Matching:
    """Deferred acceptance between targets and routers with a capacity.

    Both sides rank by the same score, so the only stable result equals the
    greedy assignment over all pairs, without sorting all pairs.
    """

    def __init__(self, seeds: dict[RouterId, int], capacity_count: int) -> None:
        self._seeds = seeds
        self._capacity_count = capacity_count
        # Per router a heap with the lowest accepted score first.
        self._accepted: dict[RouterId, list[_Accepted]] = {
            router: [] for router in seeds
        }

    def place(self, targets: list[TargetId]) -> dict[TargetId, RouterId]:
        """Return the home of each target."""
        choices = {target: self._ranked(target) for target in targets}
        waiting = list(targets)
        while waiting:
            target = waiting.pop()
            displaced = self._propose(target, next(choices[target]))
            if displaced is not None:
                waiting.append(displaced)
        return {
            target: router
            for router, accepted in self._accepted.items()
            for _score, target in accepted
        }

    def _propose(self, target: TargetId, choice: _Choice) -> TargetId | None:
        score, router = choice
        accepted = self._accepted[router]
        if len(accepted) < self._capacity_count:
            heapq.heappush(accepted, (score, target))
            return None
        return heapq.heappushpop(accepted, (score, target))[1]

    def _ranked(self, target: TargetId) -> Iterator[_Choice]:
        first = heapq.nlargest(_FIRST_CHOICES, _choices(target, self._seeds))
        yield from first
        yield from sorted(_choices(target, self._seeds), reverse=True)[
            len(first) :
        ]


def _seeds(routers: Iterable[RouterId]) -> dict[RouterId, int]:
    # The order of a set differs from run to run.
    return {
        router: mmh3.hash(router, signed=False) for router in sorted(routers)
    }


def _choices(name: str, seeds: dict[RouterId, int]) -> list[_Choice]:
    return [
        (mmh3.hash(name, seed, signed=False), router)
        for router, seed in seeds.items()
    ]
