"""Evacuations of failure domains: what is in force, and what is rejected."""

import random
from dataclasses import replace

import pytest

from dotterelhatch.core.balancer import (
    Balancer,
    BalancerSettings,
    Placement,
    PlacementRequest,
    Rejection,
)
from dotterelhatch.core.evacuations import Evacuations
from dotterelhatch.core.load import LoadTracker
from dotterelhatch.core.prompts import Prompt, PromptPart, SentPrompt
from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.core.routes import RouteKind
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.ids import FailureDomain, RouterId, TargetId
from dotterelhatch.platform.documents import decode_evacuations
from dotterelhatch.platform.store import RowChange
from tests.gateway_helpers import MODEL, PLAIN, route, routing_table

KONYA = FailureDomain('konya')
BURSA = FailureDomain('bursa')
IZMIR = FailureDomain('izmir')
DOMAINS = (KONYA, BURSA, IZMIR)
NONE: frozenset[FailureDomain] = frozenset()


def _entry(name: str, domain: FailureDomain, **changes: object) -> TargetEntry:
    entry = TargetEntry(
        id=TargetId(name),
        service=MODEL,
        address='10.0.0.1:80',
        failure_domain=domain,
        state=TargetState.READY,
        slots_count=6,
        started_ms=100,
    )
    return replace(entry, **changes)  # type: ignore[arg-type]


def _entries(count: int = 12) -> list[TargetEntry]:
    return [
        _entry(f't-{number:02}', DOMAINS[number % 3]) for number in range(count)
    ]


def _domains(registry: TargetRegistry) -> set[FailureDomain]:
    return {entry.failure_domain for entry in registry.ready(MODEL)}


def _balancer(registry: TargetRegistry, seed: int) -> Balancer:
    return Balancer(
        BalancerSettings(KONYA),
        registry,
        LoadTracker(),
        TargetHealth(),
        TargetLimits(RouterId('r1'), lambda: {RouterId('r1'): 1.0}),
        random.Random(seed),
    )


def _request(number: int, **changes: object) -> PlacementRequest:
    parts = (PromptPart(f'p-{number % 7}', 500), PromptPart(f'{number}', 400))
    prompt = Prompt(parts, 900, 80)
    request = PlacementRequest(
        route=route('/draft/', RouteKind.STREAMING, MODEL),
        service=routing_table().services[MODEL],
        prompt=prompt,
        remaining_seconds=4,
        shortest_objective_seconds=0.5,
    )
    return replace(request, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    'evacuated',
    [
        {KONYA},
        {KONYA, BURSA},
        {FailureDomain('unknown')},
        {BURSA, FailureDomain('unknown')},
    ],
)
def test_targets_of_evacuated_domains_are_not_ready(
    evacuated: set[FailureDomain],
) -> None:
    """Guards against requests to an evacuated domain.

    One or two domains are evacuated, or one that has no targets.
    """
    registry = TargetRegistry()
    registry.apply(_entries(), 0)
    registry.set_evacuated(frozenset(evacuated))
    assert _domains(registry) == set(DOMAINS) - evacuated
    assert registry.evacuated_count == 4 * len(evacuated & set(DOMAINS))
    registry.set_evacuated(NONE)
    assert _domains(registry) == set(DOMAINS)


def test_entries_that_arrive_later_are_not_ready() -> None:
    """Guards against a new target, or a moved one, of an evacuated domain.

    A router that starts may know of the evacuation before it knows the targets.
    """
    registry = TargetRegistry()
    registry.set_evacuated(frozenset({KONYA}))
    registry.apply(_entries(), 0)
    assert _domains(registry) == {BURSA, IZMIR}
    registry.apply([*_entries(), _entry('new', KONYA)], 1)
    assert _domains(registry) == {BURSA, IZMIR}
    restarted = [
        replace(entry, failure_domain=KONYA, started_ms=200)
        for entry in _entries()
    ]
    registry.apply(restarted, 2)
    assert not registry.ready(MODEL)
    assert registry.is_evacuated(MODEL)
    assert not registry.is_evacuated(PLAIN)


def test_an_evacuation_keeps_the_state_of_other_targets() -> None:
    """Guards against selections that are discarded for nothing.

    What is cached for a service is valid while its tuple is the same.
    """
    registry = TargetRegistry()
    registry.apply(_entries(), 0)
    ready = registry.ready(MODEL)
    registry.set_evacuated(frozenset({FailureDomain('unknown')}))
    assert registry.ready(MODEL) is ready


def test_a_leaving_target_stays_out_after_an_evacuation() -> None:
    """Guards against a withdrawal that brings back targets that have left."""
    registry = TargetRegistry()
    registry.apply(_entries(), 0)
    registry.set_evacuated(frozenset({KONYA}))
    entries = _entries()
    registry.mark_leaving(entries[0])
    entries[3] = replace(entries[3], state=TargetState.LEAVING)
    registry.apply(entries, 1)
    registry.set_evacuated(NONE)
    names = {entry.id for entry in registry.ready(MODEL)}
    assert names == {entry.id for entry in entries} - {'t-00', 't-03'}


@pytest.mark.parametrize('targets_count', [12, 60])
def test_no_request_is_placed_in_an_evacuated_domain(
    targets_count: int,
) -> None:
    """Guards against cached selections that outlive the evacuation.

    Under load, prompts that the domain has cached, isolated requests and
    repeats are placed before it and during it, with few and many targets.
    """
    registry = TargetRegistry()
    registry.apply(_entries(targets_count), 0)
    balancer = _balancer(registry, targets_count)
    kinds: tuple[dict[str, object], ...] = (
        {},
        {'isolation_key': 'cause'},
        {'isolation_key': 'cause', 'down_targets': frozenset({'t-01'})},
    )
    for number in range(7):
        prompt = _request(number).prompt
        assert prompt is not None
        balancer.cache.on_sent(
            SentPrompt(TargetId('t-03'), prompt.parts, 10**6)
        )
    seen = []
    for number in range(300):
        if number == 150:
            registry.set_evacuated(frozenset({KONYA}))
        request = _request(number, **kinds[number % 3])
        tried: set[TargetId] = set()
        for _ in range(3):
            placed = balancer.place(request, tried, number / 100)
            assert isinstance(placed, Placement)
            tried.add(placed.entry.id)
            seen.append((number, placed.entry.failure_domain))
    assert any(domain == KONYA for number, domain in seen if number < 150)
    assert not [one for one in seen if one[0] >= 150 and one[1] == KONYA]


def test_a_repeat_finds_no_target_in_an_evacuated_domain() -> None:
    """Guards against a repeat for which only evacuated targets are left."""
    registry = TargetRegistry()
    registry.apply(_entries(3), 0)
    balancer = _balancer(registry, 1)
    tried = {TargetId('t-01'), TargetId('t-02')}
    assert balancer.has_untried_target(MODEL, tried, 0)
    registry.set_evacuated(frozenset({KONYA}))
    assert not balancer.has_untried_target(MODEL, tried, 0)


@pytest.mark.parametrize('is_isolated', [False, True])
def test_requests_are_rejected_at_once_if_all_domains_are_evacuated(
    *, is_isolated: bool
) -> None:
    """Guards against requests that wait for a service without targets.

    The callers are told to come back when a withdrawal may have reached the
    routers, not within a fraction of a second.
    """
    registry = TargetRegistry()
    registry.apply(_entries(), 0)
    registry.set_evacuated(frozenset(DOMAINS))
    request = _request(1, isolation_key='cause' if is_isolated else None)
    rejection = _balancer(registry, 1).place(request, (), 0)
    assert isinstance(rejection, Rejection)
    assert rejection.reason == Rejection.EVACUATED
    assert 5 <= rejection.retry_after_seconds <= 6


def test_a_withdrawn_evacuation_ends_at_once() -> None:
    """Guards against a domain that stays out after the withdrawal."""
    evacuations = Evacuations()
    begun = evacuations.apply(frozenset({KONYA, BURSA}), 1, 0)
    assert begun.begun == {KONYA, BURSA}
    ended = evacuations.apply(frozenset({BURSA}), 1, 1)
    assert (ended.begun, ended.ended, ended.lapsed) == (NONE, {KONYA}, NONE)
    assert evacuations.in_force == {BURSA}


def test_an_evacuation_that_a_copy_lacks_ends_after_a_grace_period() -> None:
    """Guards against an evacuation that is lost, or kept for ever.

    After the return of the source nobody can see a withdrawal any more.
    """
    evacuations = Evacuations()
    evacuations.apply(frozenset({KONYA, BURSA}), 1, 0)
    changes = evacuations.apply(frozenset({BURSA}), 2, 100)
    assert (changes.ended, changes.lapsed) == (NONE, {KONYA})
    assert evacuations.in_force == {KONYA, BURSA}
    evacuations.apply(frozenset({BURSA}), 2, 150)
    evacuations.apply(frozenset({BURSA}), 3, 155)
    assert not evacuations.expire(159).ended
    assert evacuations.expire(160).ended == {KONYA}
    assert evacuations.in_force == {BURSA}
    assert not evacuations.expire(161).ended


def test_a_lost_evacuation_that_is_requested_again_has_no_limit() -> None:
    """Guards against a grace period that ends a repeated request.

    Its withdrawal then counts at once.
    """
    evacuations = Evacuations()
    evacuations.apply(frozenset({KONYA}), 1, 0)
    evacuations.apply(NONE, 2, 100)
    again = evacuations.apply(frozenset({KONYA}), 2, 110)
    assert not (again.begun or again.ended or again.lapsed)
    assert not evacuations.expire(1000).ended
    assert evacuations.apply(NONE, 2, 1001).ended == {KONYA}


def test_a_router_that_starts_lapses_nothing() -> None:
    """Guards against the first read that looks like the return of a copy."""
    evacuations = Evacuations()
    assert not evacuations.apply(NONE, 7, 0).lapsed
    evacuations.apply(frozenset({KONYA}), 7, 1)
    assert evacuations.apply(NONE, 7, 2).ended == {KONYA}


@pytest.mark.parametrize(
    ('key', 'content', 'domains', 'ignored_count'),
    [
        ('evacuate/konya', b'{}', {KONYA}, 0),
        ('evacuate/konya', b'{"reason": "power"}', {KONYA}, 0),
        ('evacuate/konya', b'', {KONYA}, 0),
        ('evacuate/konya', b'\xff', {KONYA}, 0),
        ('evacuate/konya', b'[]', {KONYA}, 0),
        ('evacuate/konya', None, set(), 0),
        ('evacuate/no-such', b'{}', {'no-such'}, 0),
        ('evacuate/İzmir', b'{}', {'İzmir'}, 0),
        ('evacuate/', b'{}', set(), 1),
        ('evacuate/' + 'z' * 201, b'{}', set(), 1),
        ('evacuate', b'{}', set(), 0),
        ('Evacuate/konya', b'{}', set(), 0),
        ('config', b'{}', set(), 0),
    ],
)
def test_rows_of_evacuations_are_decoded(
    key: str,
    content: bytes | None,
    domains: set[FailureDomain],
    ignored_count: int,
) -> None:
    """Guards against a malformed row that hides an evacuation."""
    rows = [RowChange(key, content, 3), RowChange('evacuate/bursa', b'{}', 4)]
    assert decode_evacuations(rows) == (
        frozenset({*domains, BURSA}),
        ignored_count,
    )
