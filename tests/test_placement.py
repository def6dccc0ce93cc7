"""Assignment of coordinators and aggregators to routers."""

import random
from collections import Counter

import mmh3
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.placement import (
    aggregator_of,
    candidates_of,
    coordinator_of,
    coordinators_of,
)
from dotterelhatch.ids import RouterId, ServiceId, TargetId

names = st.text('abcdefgh0123-', min_size=1, max_size=8)
router_sets = st.sets(names.map(RouterId), min_size=1, max_size=12)
target_sets = st.sets(names.map(TargetId), max_size=30)


def _fleet(
    target_count: int, router_count: int, seed: int
) -> tuple[list[TargetId], list[RouterId]]:
    targets = [TargetId(f's{seed}-t{index}') for index in range(target_count)]
    routers = [RouterId(f'router-{index}') for index in range(router_count)]
    return targets, routers


@given(target_sets, router_sets, st.randoms(use_true_random=False))
def test_order_of_arguments_does_not_matter(
    targets: set[TargetId], routers: set[RouterId], rng: random.Random
) -> None:
    """Guards against routers that disagree in spite of the same view.

    Each router computes the assignment by itself, from sets that it iterates
    in an order of its own.
    """
    shuffled = sorted(routers)
    rng.shuffle(shuffled)
    target_order = sorted(targets)
    rng.shuffle(target_order)
    expected = coordinators_of(sorted(targets), sorted(routers))
    assert coordinators_of(target_order, shuffled) == expected
    assert set(expected) == targets


@given(target_sets, router_sets)
def test_balance(targets: set[TargetId], routers: set[RouterId]) -> None:
    """Guards against one router that coordinates too many targets.

    Rendezvous hashing alone does not distribute a few targets evenly.
    """
    counts = Counter(coordinators_of(targets, routers).values())
    assert max(counts.values(), default=0) <= -(-len(targets) // len(routers))


@given(target_sets, router_sets)
def test_result_equals_greedy_over_all_pairs(
    targets: set[TargetId], routers: set[RouterId]
) -> None:
    """Guards against an unstable matching.

    An unstable pair of target and router would be reassigned by a change
    that does not concern it.
    """
    capacity_count = -(-len(targets) // len(routers))
    pairs = sorted(
        (
            mmh3.hash(target, mmh3.hash(router, signed=False), signed=False),
            router,
            target,
        )
        for target in targets
        for router in routers
    )
    greedy: dict[TargetId, RouterId] = {}
    for _score, router, target in reversed(pairs):
        full = list(greedy.values()).count(router) == capacity_count
        if target not in greedy and not full:
            greedy[target] = router
    assert coordinators_of(targets, routers) == greedy


@pytest.mark.parametrize(
    ('target_count', 'router_count'), [(3, 4), (5, 4), (6, 4), (60, 24)]
)
def test_few_targets_move_when_a_router_leaves(
    target_count: int, router_count: int
) -> None:
    """Guards against a removed router that changes most assignments.

    On average, no more than one further target may be reassigned for each
    target of the removed router.
    """
    moved_count = required_count = 0
    for seed in range(20):
        targets, routers = _fleet(target_count, router_count, seed)
        before = coordinators_of(targets, routers)
        for removed in routers:
            after = coordinators_of(targets, set(routers) - {removed})
            moved_count += sum(before[one] != after[one] for one in targets)
            required_count += list(before.values()).count(removed)
    assert moved_count <= 2 * required_count


def test_a_router_that_returns_gets_its_targets_back() -> None:
    """Guards against an assignment that depends on former ones.

    Routers that started at different times would then disagree.
    """
    targets, routers = _fleet(20, 6, 0)
    before = coordinators_of(targets, routers)
    coordinators_of(targets, routers[1:])
    assert coordinators_of(targets, routers) == before


def test_coordinators_spread_over_the_routers() -> None:
    """Guards against a router whose scores are high for all targets.

    This occurs if the hash does not mix the names of router and target.
    """
    targets, routers = _fleet(4000, 8, 0)
    counts = Counter(coordinator_of(target, routers) for target in targets)
    assert all(400 < counts[router] < 600 for router in routers)


def test_aggregator_is_one_of_the_coordinators() -> None:
    """Guards against an aggregator that coordinates no target.

    It would have no counters of its own to sum. The aggregators of many
    services also have to be spread over the coordinators.
    """
    coordinators = [RouterId(f'router-{index}') for index in range(4)]
    services = [ServiceId(f'service-{index}') for index in range(40)]
    chosen = {aggregator_of(service, coordinators) for service in services}
    assert chosen == set(coordinators)


def test_no_router() -> None:
    """Guards against an arbitrary coordinator when no router is usable."""
    assert not coordinators_of([TargetId('a')], [])
    with pytest.raises(ValueError):
        coordinator_of(TargetId('a'), [])


def test_services_have_few_coordinators_spread_over_the_routers() -> None:
    """Guards against entry routers that must call the whole fleet.

    An entry router exchanges messages with all coordinators of a service, so
    their number must not grow with the fleet. Nor may one router be candidate
    of many services.
    """
    _targets, routers = _fleet(0, 370, 0)
    counts = {ServiceId(f'model-{index}'): 144 for index in range(16)}
    counts[ServiceId('small')] = 3
    candidates = candidates_of(counts, routers)
    assert len(candidates.pop(ServiceId('small'))) == 4
    assert {len(chosen) for chosen in candidates.values()} == {24}
    services = Counter(one for chosen in candidates.values() for one in chosen)
    assert max(services.values()) <= 3
    few = candidates_of(counts, routers[:4])
    assert set(few.values()) == {frozenset(routers[:4])}
