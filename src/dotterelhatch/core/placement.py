"""Assignment of roles to routers by rendezvous hashing.

The result depends only on names, so routers with the same view of the fleet
agree without exchanging messages.
"""

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
    'owners_of',
)

# Most targets get one of their top choices, so all routers are sorted only
# for the few targets that need more.
_TOP_CHOICE_COUNT: Final = 8
# Entry routers and the aggregator exchange messages with each coordinator of
# a service, so a service gets one coordinator per this many targets. With the
# minimum count, a lost coordinator affects at most a quarter of a service.
_TARGETS_PER_COORDINATOR: Final = 6
_MIN_COORDINATOR_COUNT: Final = 4


# A router with its score for one target; the highest score is preferred. For
# 370 routers, a plain tuple takes half the time of a named one.
_ScoredRouter = tuple[int, RouterId]
# An accepted target with its score.
_ScoredTarget = tuple[int, TargetId]


def coordinator_of(target: TargetId, routers: Iterable[RouterId]) -> RouterId:
    """Return the router with the highest score for a target.

    :param target: the target.
    :param routers: usable routers, in any order, at least one.
    :returns: the coordinator if the targets need not be balanced.
    :raises ValueError: when there is no router.
    """
    return max(_score_routers(target, _hash_seeds(routers)))[1]


def coordinators_of(
    targets: Iterable[TargetId], routers: Iterable[RouterId]
) -> dict[TargetId, RouterId]:
    """Return the coordinators of the targets of one service.

    The pairs of target and router are taken in descending order of their
    score. A pair is used if the target has no coordinator yet and the router
    has fewer than ``ceil(targets / routers)`` targets. The result depends
    only on the two sets, so routers with the same view agree.

    :param targets: the targets of the service, in any order.
    :param routers: usable routers, in any order.
    :returns: the coordinator of each target, empty if there is no router.
    """
    seeds = _hash_seeds(routers)
    waiting = sorted(set(targets))
    if not seeds:
        return {}
    return _StableMatching(seeds, -(-len(waiting) // len(seeds))).match(waiting)


def candidates_of(
    target_counts: Mapping[ServiceId, int], routers: Iterable[RouterId]
) -> dict[ServiceId, frozenset[RouterId]]:
    """Return the routers that may coordinate targets of each service.

    The candidates of all services are assigned together, so that no router
    is a candidate of many services while others are of none.

    :param target_counts: the number of targets of each service.
    :param routers: usable routers, in any order.
    :returns: the candidates of each service.
    """
    usable = frozenset(routers)
    wanted_counts = {
        service: max(
            _MIN_COORDINATOR_COUNT, -(-count // _TARGETS_PER_COORDINATOR)
        )
        for service, count in target_counts.items()
    }
    placeholders = {
        TargetId(f'{service}/{number}'): service
        for service, count in wanted_counts.items()
        for number in range(count)
        if count < len(usable)
    }
    chosen: dict[ServiceId, set[RouterId]] = {
        one: set() for one in wanted_counts
    }
    for placeholder, router in coordinators_of(placeholders, usable).items():
        chosen[placeholders[placeholder]].add(router)
    return {
        service: _fill_to_count(service, chosen[service], usable, count)
        for service, count in wanted_counts.items()
    }


def aggregator_of(
    service: ServiceId, coordinators: Iterable[RouterId]
) -> RouterId:
    """Return the coordinator that sums the counters of a service.

    :param service: the service.
    :param coordinators: coordinators of its targets, at least one.
    :returns: the aggregator.
    :raises ValueError: if there is no coordinator.
    """
    # Without the prefix, a target with the name of the service would have the
    # same order of routers.
    return max(
        _score_routers(f'aggregator/{service}', _hash_seeds(coordinators))
    )[1]


def claim_cleaner_of(routers: Iterable[RouterId]) -> RouterId:
    """Return the router that deletes expired claims.

    Two routers with different views may both delete claims. This costs only
    additional reads, because a deletion is conditional on the revision.

    :param routers: usable routers, at least one.
    :raises ValueError: if there is no router.
    """
    return max(_score_routers('claims/expired', _hash_seeds(routers)))[1]


def owners_of(
    name: str, routers: Iterable[RouterId], count: int
) -> frozenset[RouterId]:
    """Return the routers with the highest scores for a name.

    :param routers: usable routers, in any order.
    :param count: number of routers, if there are as many.
    """
    scored = _score_routers(name, _hash_seeds(routers))
    return frozenset(router for _, router in heapq.nlargest(count, scored))


def _fill_to_count(
    service: ServiceId,
    chosen: set[RouterId],
    usable: frozenset[RouterId],
    wanted_count: int,
) -> frozenset[RouterId]:
    """Add candidates where one router got several places of a service."""
    if wanted_count >= len(usable):
        return usable
    missing_count = wanted_count - len(chosen)
    others = _score_routers(service, _hash_seeds(usable - chosen))
    added = heapq.nlargest(missing_count, others)
    return frozenset(chosen | {router for _score, router in added})


class _StableMatching:
    """Deferred acceptance between targets and routers of limited capacity.

    Both sides rank by the same score, so there is one stable matching, and it
    equals the greedy assignment over all pairs. It needs no sort of all
    pairs.
    """

    def __init__(self, seeds: dict[RouterId, int], capacity_count: int) -> None:
        self._seeds = seeds
        self._capacity_count = capacity_count
        # A heap for each router, with the lowest accepted score first.
        self._accepted: dict[RouterId, list[_ScoredTarget]] = {
            router: [] for router in seeds
        }

    def match(self, targets: list[TargetId]) -> dict[TargetId, RouterId]:
        """Return the coordinator of each target."""
        choices = {target: self._rank_routers(target) for target in targets}
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

    def _propose(
        self, target: TargetId, choice: _ScoredRouter
    ) -> TargetId | None:
        score, router = choice
        accepted = self._accepted[router]
        if len(accepted) < self._capacity_count:
            heapq.heappush(accepted, (score, target))
            return None
        return heapq.heappushpop(accepted, (score, target))[1]

    def _rank_routers(self, target: TargetId) -> Iterator[_ScoredRouter]:
        first = heapq.nlargest(
            _TOP_CHOICE_COUNT, _score_routers(target, self._seeds)
        )
        yield from first
        yield from sorted(_score_routers(target, self._seeds), reverse=True)[
            len(first) :
        ]


def _hash_seeds(routers: Iterable[RouterId]) -> dict[RouterId, int]:
    # The iteration order of a set differs between processes.
    return {
        router: mmh3.hash(router, signed=False) for router in sorted(routers)
    }


def _score_routers(
    name: str, seeds: dict[RouterId, int]
) -> list[_ScoredRouter]:
    return [
        (mmh3.hash(name, seed, signed=False), router)
        for router, seed in seeds.items()
    ]
