"""Tests of placement by the memory that running requests need."""

import contextlib
import logging
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from dotterelhatch.core.admission import AdmissionFactors, memory_limit_share
from dotterelhatch.core.balancer import Placement, Rejection
from dotterelhatch.core.enginememory import (
    EngineMemory,
    FinishedStream,
    MemoryRoom,
)
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.prompts import Prompt, PromptPart, SentPrompt
from dotterelhatch.core.routes import EngineSpec, ServiceSpec
from dotterelhatch.gateway.decisions import Decision
from dotterelhatch.gateway.relay import _count_ends
from dotterelhatch.ids import RouterId, TargetId
from emulator.__main__ import summarise
from emulator.patterns import PATTERNS, Pattern
from emulator.simulation import Outcome, Simulation
from standins.server import ServerStandIn
from tests.gateway_helpers import open_gateway, routing_table, run_async
from tests.test_balancer import ENGINE, MODEL, Fixture, make_request

SCARCE = EngineSpec(slots_count=64, memory_tokens=100_000)
TARGET = TargetId('m0')
TARGETS = [TargetId(f'm{one}') for one in range(5)]


def _prompt(
    number: int = 0, own_tokens: int = 2890, output: int = 800
) -> Prompt:
    parts = (
        PromptPart('thing', 6300),
        PromptPart(f'own-{number}', own_tokens),
    )
    return Prompt(parts, 6300 + own_tokens, output)


def _finished(
    one: Prompt, generated_tokens: int, seconds: float = 2.0
) -> FinishedStream:
    return FinishedStream(MODEL, 'r', one, generated_tokens, seconds)


def _learn(memory: EngineMemory, count: int = 40) -> None:
    """Finish streams that generate a tenth of what they declare."""
    for number in range(count):
        one = _prompt(number, 2000 + number % 9 * 222)
        memory.on_finished(_finished(one, 80))


def _learned_fixture(seed: int = 1) -> Fixture:
    fixture = Fixture(seed)
    _learn(fixture.balancer.memory)
    return fixture


def _place(
    fixture: Fixture,
    number: int,
    *,
    is_continued: bool = False,
    engine: EngineSpec = SCARCE,
    **factors: float,
) -> Placement | Rejection:
    """Place a request whose prompt is read at once."""
    one = _prompt(number)
    request = make_request(one, **factors)
    request = replace(
        request,
        service=replace(request.service, engine=engine),
        is_continued=is_continued,
    )
    chosen = fixture.balancer.place(request, (), number / 1000)
    if isinstance(chosen, Placement):
        target = chosen.entry.id
        fixture.loads.start(target, chosen.load, 0).on_first_event()
        sent = SentPrompt(target, one.parts, chosen.spare_tokens)
        fixture.balancer.cache.on_sent(sent)
        fixture.balancer.memory.on_sent(sent, number / 1000)
    return chosen


def test_requests_beyond_the_memory_are_rejected_at_once() -> None:
    """Guards against requests that preempt others in the middle of a stream.

    Each engine has memory for about 30 requests and slots for 64. Of 300
    requests at once those beyond the memory are rejected, and told to return
    when a part of the running ones has ended.
    """
    fixture = _learned_fixture()
    outcomes = [_place(fixture, number) for number in range(300)]
    rejected = [one for one in outcomes if isinstance(one, Rejection)]
    for target in TARGETS:
        running_count = fixture.loads.total(target).requests_count
        assert 20 <= running_count <= 33
    assert {one.reason for one in rejected} == {Rejection.NO_MEMORY}
    assert all(0.2 <= one.retry_after_seconds < 2.0 for one in rejected)
    assert all(one.room is not None for one in rejected)


def test_declared_lengths_do_not_count() -> None:
    """Guards against engines that are left half empty.

    Callers declare ten times the tokens that are generated.
    """
    memory = EngineMemory()
    one = _prompt(own_tokens=2000, output=20_000)
    assert memory.own_tokens('r', one) == 22_000
    for _ in range(40):
        memory.on_finished(_finished(one, 2000))
    assert memory.own_tokens('r', one) == pytest.approx(4000, rel=0.05)
    assert memory.own_tokens('another', one) == 22_000


def test_few_streams_decide_nothing() -> None:
    """Guards against a limit that follows the first few streams."""
    fixture = Fixture()
    _learn(fixture.balancer.memory, count=10)
    outcomes = [_place(fixture, number) for number in range(200)]
    assert all(isinstance(one, Placement) for one in outcomes)
    assert not fixture.balancer.memory.limiting_count


def test_answers_of_uneven_length_take_more_than_their_mean() -> None:
    """Guards against engines that are full as some answers are long."""
    memory = EngineMemory()
    one = _prompt(own_tokens=0, output=1000)
    for number in range(400):
        memory.on_finished(_finished(one, 900 if number % 4 == 0 else 100))
    assert 450 < memory.own_tokens('r', one) <= 1000


def test_shared_parts_count_once_for_each_target() -> None:
    """Guards against rejections while an engine has memory.

    Requests about one document have its tokens in memory once, whichever router
    sent them.
    """
    memory = EngineMemory()
    _learn(memory)
    one = _prompt()
    load = TargetLoad(3, 0, 3 * (one.input_tokens + one.max_output_tokens))
    rooms = []
    for count in range(3):
        rooms.append(
            memory.room(MODEL, SCARCE, TARGET, load, one.prefixes(), 3000)
        )
        memory.on_sent(SentPrompt(TARGET, one.parts, 0), count / 10)
    without, once, twice = rooms
    assert without.need_tokens == 9300
    assert once.need_tokens == twice.need_tokens == 3000
    assert once.used_tokens == twice.used_tokens
    assert once.used_tokens == without.used_tokens + 6300


def test_shared_parts_of_ended_requests_do_not_count() -> None:
    """Guards against memory that seems used long after its requests ended."""
    memory = EngineMemory()
    _learn(memory)
    one = _prompt()
    memory.on_sent(SentPrompt(TARGET, one.parts, 0), 0)
    other = SentPrompt(TargetId('m1'), one.parts, 0)
    memory.on_sent(other, 10)
    load = TargetLoad(1, 0, 10_000)
    room = memory.room(MODEL, SCARCE, TARGET, load, one.prefixes(), 3000)
    assert room.need_tokens == 9300


def test_what_is_kept_of_shared_parts_is_limited() -> None:
    """Guards against memory of a router that callers fill with part ids."""
    memory = EngineMemory(max_parts_count=100)
    _learn(memory)
    for number in range(1000):
        parts = (PromptPart(f'part-{number}', 10), PromptPart('own', 1))
        memory.on_sent(SentPrompt(TARGET, parts, 0), 0)
    assert len(memory._shared) == 100
    assert memory._shared_tokens == {TARGET: 1000}


def test_callers_return_when_memory_is_free() -> None:
    """Guards against a retry time that has nothing to do with the answers.

    Streams take 2 s. A request that lacks a quarter of the used memory returns
    after a quarter of that.
    """
    memory = EngineMemory()
    _learn(memory)
    room = MemoryRoom(10_000, 80_000, 20_000, 100_000)
    assert room.missing_tokens(0.8) == 20_000
    seconds = memory.seconds_until_free(MODEL, room, 0.8)
    assert seconds == pytest.approx(0.5, abs=0.01)


def test_the_load_of_a_lost_router_expires() -> None:
    """Guards against engines that stay full for a router that was lost.

    A peer reports engines full of its requests, and is lost halfway through
    them.
    """
    fixture = _learned_fixture()
    full = TargetLoad(32, 0, 32 * 10_000)
    fixture.loads.on_report(RouterId('r2'), dict.fromkeys(TARGETS, full), 0)
    chosen = _place(fixture, 0)
    assert isinstance(chosen, Rejection)
    assert chosen.reason == Rejection.NO_MEMORY
    fixture.loads.on_report(RouterId('r3'), {}, 2.5)
    assert isinstance(_place(fixture, 2500), Placement)


def test_where_slots_bind_memory_excludes_no_target() -> None:
    """Guards against changes where engines have memory for all their slots."""
    learned = _learned_fixture()
    unlearned = Fixture()
    for number in range(300):
        after = _place(learned, number, engine=ENGINE)
        before = _place(unlearned, number, engine=ENGINE)
        assert after == before
    assert not learned.balancer.memory.limiting_count


def test_an_idle_target_takes_a_request_of_any_size() -> None:
    """Guards against a long prompt that no target ever takes."""
    fixture = _learned_fixture()
    one = _prompt(own_tokens=95_000)
    request = make_request(one)
    request = replace(request, service=replace(request.service, engine=SCARCE))
    assert isinstance(fixture.balancer.place(request, (), 0), Placement)


def test_a_full_selection_does_not_hide_a_target_with_memory() -> None:
    """Guards against a rejection while one of many targets has memory.

    In a large fleet few targets are compared for a prompt.
    """
    fixture = _learned_fixture()
    entries = [
        replace(fixture.registry.ready(MODEL)[0], id=TargetId(f'm{one}'))
        for one in range(40)
    ]
    fixture.registry.apply(entries, 0)
    full = TargetLoad(32, 0, 32 * 10_000)
    for entry in entries[:-1]:
        fixture.loads.add(entry.id, full)
    fixture.loads.add(entries[-1].id, TargetLoad(5, 0, 50_000))
    # One that fits nowhere says nothing about others.
    huge = make_request(_prompt(own_tokens=99_000))
    huge = replace(huge, service=replace(huge.service, engine=SCARCE))
    assert isinstance(fixture.balancer.place(huge, (), 0), Rejection)
    chosen = _place(fixture, 0)
    assert isinstance(chosen, Placement)
    assert chosen.entry.id == entries[-1].id


def test_an_organisation_above_its_share_gets_what_others_leave() -> None:
    """Guards against memory that is full of one organisation's requests.

    Under overload an organisation far above its max-min share is rejected
    while one below it still gets memory, and so is a late request.
    """
    fixture = _learned_fixture()
    large = {'rejection_rate': 0.5, 'fair_share_ratio': 1.2}
    small = {'rejection_rate': 0.5, 'fair_share_ratio': 0.5}
    number = 0
    while isinstance(_place(fixture, number, **large), Placement):
        number += 1
    assert number > 50
    late = _place(fixture, number + 1, age_seconds=3, **small)
    in_time = _place(fixture, number + 2, **small)
    assert isinstance(late, Placement)
    assert isinstance(in_time, Placement)
    while isinstance(
        _place(fixture, number, age_seconds=3, **small), Placement
    ):
        number += 1
    assert isinstance(_place(fixture, number + 1, **small), Placement)


def test_a_request_that_lost_its_target_may_use_all_memory() -> None:
    """Guards against streams that break off as their targets have crashed."""
    factors = AdmissionFactors(rejection_rate=1, fair_share_ratio=2)
    assert memory_limit_share(factors, is_late=True, is_continued=True) == 1
    fixture = _learned_fixture()
    number = 0
    while isinstance(_place(fixture, number), Placement):
        number += 1
    assert isinstance(_place(fixture, number, is_continued=True), Placement)


def test_events_that_are_split_count_once() -> None:
    """Guards against answers that seem shorter or longer than they are."""
    chunks = [b'data: 1\n', b'\ndata: 2\n\ndata', b': 3\n\n', b': ping\n\n']
    tail = b''
    count = 0
    for chunk in chunks:
        count += _count_ends(tail, chunk)
        tail = (tail + chunk)[-4:]
    assert count == 4
    assert _count_ends(b'a\r\n', b'\r\nb\r\n\r\n') == 2


@run_async
async def test_a_gateway_learns_and_rejects_with_the_facts() -> None:
    """Guards against streams that teach nothing, and lines without a reason.

    The server generates 4 tokens of 80 that are declared. Then a peer reports
    that the memory of the server is full.
    """
    services = {MODEL: ServiceSpec(MODEL, EngineSpec(64, 10_000))}
    table = routing_table(services=services)
    server = ServerStandIn('i-1')
    with capture_decisions() as lines:
        async with open_gateway((MODEL, server), table=table) as fixture:
            for number in range(20):
                await fixture.stream('/draft/1', f'r{number}')
            state = fixture.gateway.state
            full = TargetLoad(30, 0, 30 * 980)
            state.load_tracker.on_report(
                RouterId('r2'), {TargetId('i-1'): full}, state.clock()
            )
            response = await fixture.stream('/draft/1', 'last')
            limiting_count = state.balancer.memory.limiting_count
    assert limiting_count == 1
    assert response.status == 429
    assert float(response.header('Retry-After') or 0) > 0
    assert len(server.executed_ids) == 20
    refused = lines[Decision.REFUSED]
    assert len(refused) == 1
    assert refused[0]['detail'].startswith(Rejection.NO_MEMORY)
    assert refused[0]['memory_capacity'] == 10_000
    assert refused[0]['memory_used'] > 8000
    assert 'memory_need' in lines[Decision.PLACED][-1]


@contextlib.contextmanager
def capture_decisions() -> Iterator[dict[Decision, list[dict[str, Any]]]]:
    """Collect the facts of decision lines."""
    found: dict[Decision, list[dict[str, Any]]] = defaultdict(list)

    class Collector(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            facts = getattr(record, 'facts', {})
            found[getattr(record, 'decision', Decision.LOAD)].append(facts)

    logger = logging.getLogger('dotterelhatch.decisions')
    former_level = logger.level
    collector = Collector()
    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    try:
        yield found
    finally:
        logger.removeHandler(collector)
        logger.setLevel(former_level)


HOT = PATTERNS['hot-organisations']
RUN_SECONDS = 22
PRESENT_PATTERNS = sorted(
    name for name, pattern in PATTERNS.items() if not pattern.memory_tokens
)


def _run(
    pattern: Pattern, seed: int, seconds: float = RUN_SECONDS
) -> Simulation:
    simulation = Simulation(pattern, 'gateway', seed)
    simulation.run(seconds)
    return simulation


def _measured(seeds: Iterable[int]) -> list[Outcome]:
    """Return the requests of the burst that had time to return."""
    return [
        outcome
        for seed in seeds
        for outcome in _run(HOT, seed).outcomes
        if 10 < outcome.sent_seconds < RUN_SECONDS - 3
    ]


def _served_share(outcomes: list[Outcome]) -> float:
    served = [one for one in outcomes if one.first_event_seconds is not None]
    return len(served) / len(outcomes)


def _worth(outcomes: list[Outcome], late_worth_ratio: float) -> float:
    return summarise(
        [
            replace(outcome, late_worth_ratio=late_worth_ratio)
            for outcome in outcomes
        ]
    )['worth']


@pytest.mark.parametrize('name', PRESENT_PATTERNS)
def test_memory_limits_no_present_pattern(name: str) -> None:
    """Guards against changed decisions where slots limit the engines.

    Where memory does not limit a service, the balancer takes no other path.
    """
    simulation = Simulation(PATTERNS[name], 'gateway', 1)
    counts: list[int] = []
    simulation.run(
        12,
        lambda _: counts.extend(
            router._balancer.memory.limiting_count  # type: ignore[attr-defined]
            for router in simulation._routers
        ),
    )
    assert not any(counts)


def test_decisions_are_the_same_where_slots_bind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against effects of what is learned where slots bind."""
    runs = [_run(PATTERNS['burst'], 1, 13)]
    monkeypatch.setattr(EngineMemory, 'is_limiting', lambda *_: False)
    runs.append(_run(PATTERNS['burst'], 1, 13))
    assert runs[0].sends == runs[1].sends
    assert runs[0].outcomes == runs[1].outcomes


def test_twelve_organisations_at_ten_times_their_usual(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a burst in which someone starves or less is served.

    Twelve of 30 organisations ask ten times their usual, so that memory limits
    the engines. Callers know what a late response is worth, routers don't: the
    two replays, with a tenth and a third, differ in the worth only.
    """
    outcomes = _measured((1, 2, 3))
    overall = _served_share(outcomes)
    for organisation in {one.organisation for one in outcomes}:
        theirs = [one for one in outcomes if one.organisation == organisation]
        assert _served_share(theirs) >= overall / 4, organisation
    for kind in HOT.kinds:
        of_kind = sorted(
            (one for one in outcomes if one.kind is kind),
            key=lambda one: one.own_tokens,
        )
        share = _served_share(of_kind)
        assert share >= overall / 4
        tenth = len(of_kind) // 10
        assert _served_share(of_kind[-tenth:]) >= share / 2, kind.name
        assert _served_share(of_kind[-3 * tenth : -tenth]) >= share / 2

    monkeypatch.setattr(EngineMemory, 'is_limiting', lambda *_: False)
    before = _measured((1, 2, 3))
    hot = {f'org-{number}' for number in range(HOT.hot_count)}
    for late_worth_ratio in (1 / 10, 1 / 3):
        assert _worth(outcomes, late_worth_ratio) > _worth(
            before, late_worth_ratio
        )
        # Max-min: organisations that ask little lose less than others.
        assert _worth(
            [one for one in outcomes if one.organisation not in hot],
            late_worth_ratio,
        ) > _worth(
            [one for one in before if one.organisation not in hot],
            late_worth_ratio,
        )
