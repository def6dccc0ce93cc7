"""Choice of targets under load patterns, without input and output."""

import random
from dataclasses import dataclass, field

from dotterelhatch.core.admission import AdmissionFactors
from dotterelhatch.core.balancer import (
    Balancer,
    BalancerSettings,
    Placement,
    PlacementRequest,
    Rejection,
)
from dotterelhatch.core.load import LoadTracker, TargetLoad
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
from dotterelhatch.core.targethealth import AttemptOutcome, TargetHealth
from dotterelhatch.ids import FailureDomain, RouterId, ServiceId, TargetId

MODEL = ServiceId('usta-model')
PLAIN = ServiceId('siparis-app')
ENGINE = EngineSpec(slots_count=64, memory_tokens=289_000)


@dataclass
class Fixture:
    """A balancer with five engines and three plain targets."""

    seed: int = 1
    registry: TargetRegistry = field(default_factory=TargetRegistry)
    board: LoadTracker = field(default_factory=LoadTracker)
    health: TargetHealth = field(default_factory=TargetHealth)

    def __post_init__(self) -> None:
        """List the targets."""
        entries = [_entry(MODEL, f'm{one}') for one in range(5)]
        entries += [_entry(PLAIN, f'p{one}') for one in range(3)]
        self.registry.apply(entries, 0)
        self.balancer = Balancer(
            BalancerSettings(FailureDomain('konya')),
            self.registry,
            self.board,
            self.health,
            random.Random(self.seed),
        )

    def place(
        self, demand: PlacementRequest, now_seconds: float = 0
    ) -> Placement | Rejection:
        """Place a request and count its load."""
        chosen = self.balancer.place(demand, (), now_seconds)
        if isinstance(chosen, Placement):
            target = chosen.entry.id
            self.board.start(target, chosen.load, now_seconds)
            if demand.prompt is not None:
                self.balancer.cache.on_sent(
                    SentPrompt(target, demand.prompt.parts, chosen.spare_tokens)
                )
        return chosen


def _entry(service: ServiceId, name: str) -> TargetEntry:
    return TargetEntry(
        id=TargetId(name),
        service=service,
        address='10.0.0.1:80',
        failure_domain=FailureDomain('konya'),
        state=TargetState.READY,
        slots_count=64 if service == MODEL else 6,
    )


def prompt(thing: int, own_tokens: int = 2900, number: int = 0) -> Prompt:
    """Return a prompt of one shared thing."""
    parts = (
        PromptPart('base', 2500),
        PromptPart(f'thing-{thing}', 3800),
        PromptPart(f'own-{thing}-{number}', own_tokens),
    )
    return Prompt(parts, 6300 + own_tokens, 60)


def demand(one: Prompt | None, **factors: float) -> PlacementRequest:
    """Return the demand of a request."""
    service = MODEL if one else PLAIN
    route = RouteRule(
        name='r',
        host='h',
        path_prefix='/',
        kind=RouteKind.STREAMING if one else RouteKind.IDEMPOTENT,
        timeout_seconds=4,
        objective_seconds=0.5 if one else 0.2,
        shares=(ServiceShare(service, 1),),
    )
    return PlacementRequest(
        route=route,
        service=ServiceSpec(service, ENGINE if one else None),
        prompt=one,
        remaining_seconds=4,
        shortest_objective_seconds=0.3,
        factors=AdmissionFactors(**factors),
    )


def test_requests_about_one_thing_meet_at_one_engine() -> None:
    """Load pattern: shared parts that fit into no single engine."""
    fixture = Fixture()
    chosen = set()
    for number in range(4):
        placed = fixture.place(demand(prompt(7, number=number)))
        assert isinstance(placed, Placement)
        chosen.add(placed.entry.id)
        fixture.board.add(
            placed.entry.id, TargetLoad(-1, -placed.load.unread_tokens, 0)
        )
    assert len(chosen) == 1


def test_routers_with_nothing_known_choose_the_same_engine() -> None:
    """Guards against a shared part that each router reads elsewhere."""
    chosen = [
        Fixture(seed).place(demand(prompt(thing)))
        for thing in range(10)
        for seed in range(4)
    ]
    for thing in range(10):
        names = {
            one.entry.id
            for one in chosen[4 * thing : 4 * thing + 4]
            if isinstance(one, Placement)
        }
        assert len(names) == 1


def test_a_hot_thing_spreads_to_idle_engines_before_it_is_refused() -> None:
    """Load pattern: a third of the requests are about one thing."""
    fixture = Fixture()
    placed = [
        fixture.place(
            demand(
                prompt(1, number=one), rejection_rate=0.5, fair_share_ratio=0.8
            )
        )
        for one in range(25)
    ]
    names = {one.entry.id for one in placed if isinstance(one, Placement)}
    assert names == {f'm{one}' for one in range(5)}


def _keep_at(fixture: Fixture, target: TargetId, one: Prompt) -> None:
    fixture.balancer.cache.on_sent(SentPrompt(target, one.parts, 200_000))


def test_under_overload_parts_are_not_read_again_elsewhere() -> None:
    """Load pattern: requests spill from the engines that keep their parts.

    Reading them again takes the time of several requests, so that fewer are
    served in all.
    """
    fixture = Fixture()
    keeper = TargetId('m0')
    _keep_at(fixture, keeper, prompt(1))
    for one in range(5):
        # Waits of 0.15 s, and of 0.3 s at the keeper.
        busy = TargetLoad(5, 12_000 if one == 0 else 6000, 0)
        fixture.board.add(TargetId(f'm{one}'), busy)

    overloaded = {'rejection_rate': 0.5, 'fair_share_ratio': 0.8}
    spilled = fixture.place(demand(prompt(1, number=1), **overloaded))
    first_of_its_kind = fixture.place(demand(prompt(2), **overloaded))
    calm = fixture.place(demand(prompt(1, number=2)))

    assert isinstance(spilled, Rejection)
    assert isinstance(first_of_its_kind, Placement)
    assert isinstance(calm, Placement)


def test_beyond_the_capacity_the_rest_is_refused_at_once() -> None:
    """Load pattern: a burst of three times what the engines can read."""
    fixture = Fixture()
    outcomes = [
        fixture.place(
            demand(prompt(one), rejection_rate=0.5, fair_share_ratio=0.8)
        )
        for one in range(100)
    ]
    refused = [one for one in outcomes if isinstance(one, Rejection)]
    assert refused
    for one in outcomes:
        if isinstance(one, Placement):
            assert one.wait_seconds <= 0.3
    waits = {one.retry_after_seconds for one in refused}
    assert min(waits) >= 0.2
    assert len(waits) > len(refused) // 2


def test_a_slow_engine_gets_less() -> None:
    """Load pattern: one engine runs five times slower."""
    fixture = Fixture()
    for _ in range(60):
        fixture.health.on_latency(TargetId('m0'), 0.1, 0.5)
    counts = dict.fromkeys((f'm{one}' for one in range(5)), 0)
    for thing in range(60):
        flights = [
            fixture.place(demand(prompt(thing, number=one))) for one in range(5)
        ]
        for placed in flights:
            assert isinstance(placed, Placement)
            counts[placed.entry.id] += 1
            load = placed.load
            fixture.board.add(
                placed.entry.id,
                TargetLoad(-1, -load.unread_tokens, -load.memory_tokens),
            )
    assert counts['m0'] < min(counts[f'm{one}'] for one in range(1, 5)) / 2


def test_a_failing_target_with_good_health_checks_gets_little() -> None:
    """Load pattern: a plain target fails half of its requests."""
    fixture = Fixture()
    for index in range(40):
        outcome = (
            AttemptOutcome.FAILED if index % 2 else AttemptOutcome.ANSWERED
        )
        fixture.health.on_ended(TargetId('p0'), outcome, 0)
    placed = [fixture.place(demand(None)) for _ in range(12)]
    names = [one.entry.id for one in placed if isinstance(one, Placement)]
    assert names.count(TargetId('p0')) == 0


def test_a_silent_target_is_avoided_until_it_is_heard() -> None:
    """Load pattern: a target goes dark while it has requests."""
    fixture = Fixture()
    fixture.health.on_sent(TargetId('p0'), 0)
    names = set()
    for _ in range(9):
        placed = fixture.place(demand(None), now_seconds=2)
        assert isinstance(placed, Placement)
        names.add(placed.entry.id)
    assert names == {'p1', 'p2'}
    fixture.health.on_received(TargetId('p0'), 2)
    assert fixture.health.is_usable(TargetId('p0'), 2)


def test_the_load_of_peers_counts() -> None:
    """Guards against routers that all choose the same idle engine."""
    fixture = Fixture()
    first = fixture.place(demand(prompt(3)))
    assert isinstance(first, Placement)
    busy = {first.entry.id: TargetLoad(40, 60_000, 200_000)}
    fixture.board.on_report(RouterId('r2'), busy, 0)
    second = fixture.place(demand(prompt(3, number=1)), now_seconds=0.1)
    assert isinstance(second, Placement)
    assert second.entry.id != first.entry.id


def test_plain_targets_are_filled_evenly_and_refuse_beyond_their_queue() -> (
    None
):
    """Load pattern: far more plain requests than slots and queues."""
    fixture = Fixture()
    outcomes = [fixture.place(demand(None)) for _ in range(200)]
    placed = [one for one in outcomes if isinstance(one, Placement)]
    assert 18 <= len(placed) < 120
    counts = [
        sum(one.entry.id == f'p{index}' for one in placed) for index in range(3)
    ]
    assert max(counts) - min(counts) <= 2
