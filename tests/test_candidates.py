"""Tests of the selection of the targets that are compared for a prompt."""

import random

from dotterelhatch.core.candidates import CandidateSelector
from dotterelhatch.core.prompts import (
    PrefixCacheEstimate,
    Prompt,
    PromptPart,
    SentPrompt,
)
from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.core.targetpauses import TargetPauses
from dotterelhatch.ids import FailureDomain, ServiceId, TargetId

MODEL = ServiceId('usta-model')
PROMPT = Prompt((PromptPart('base', 2500), PromptPart('own', 400)), 2900, 80)


class _Fleet:
    """A selector over engines whose waits are set by the test."""

    def __init__(self, engines_count: int, seed: int = 3) -> None:
        self.registry = TargetRegistry()
        self.registry.apply([_entry(one) for one in range(engines_count)], 0)
        self.pauses = TargetPauses()
        self.cache = PrefixCacheEstimate()
        self.waits = {TargetId(f'm{one}'): 1.0 for one in range(engines_count)}
        self.selector = CandidateSelector(
            self.registry,
            self.cache,
            self.pauses,
            random.Random(seed),
        )

    def select(self, now_seconds: float = 0) -> set[TargetId]:
        """Return the ids of the selected targets."""
        selected = self.selector.select(MODEL, PROMPT, now_seconds)
        return {entry.id for entry in selected}


def _entry(index: int) -> TargetEntry:
    return TargetEntry(
        id=TargetId(f'm{index}'),
        service=MODEL,
        address='10.0.0.1:80',
        failure_domain=FailureDomain('konya'),
        state=TargetState.READY,
        slots_count=64,
    )


def test_all_targets_of_a_small_fleet_are_selected() -> None:
    """Guards against idle engines that no request is sent to.

    With few engines a sample saves nothing and could miss the only idle one.
    """
    assert len(_Fleet(12).select()) == 12


def test_work_per_request_is_independent_of_fleet_size() -> None:
    """Guards against a flooded router that falls behind with many engines.

    A comparison of all engines for each request takes a time that grows with
    their number.
    """
    fleet = _Fleet(900)
    for request in range(1000):
        assert len(fleet.select(request * 0.0005)) < 20


def test_single_idle_engine_is_found_within_tenths_of_a_second() -> None:
    """Guards against continued rejections while an engine is idle.

    A sample misses most engines, so those of the next samples have to be others
    until all have been in one.
    """
    fleet = _Fleet(60)
    seen = set()
    for number in range(40):
        seen |= fleet.select(number * 0.01)
    assert len(seen) == 60


def test_routers_with_the_same_loads_spread_their_requests() -> None:
    """Guards against routers that all send to the same engines.

    In a burst between two heartbeats, each of 33 routers sends one prompt to
    the least loaded engine that it has selected. All of them have the same
    loads, but the least loaded engines must not get all prompts.
    """
    chosen = []
    for seed in range(33):
        fleet = _Fleet(60, seed)
        for index in range(60):
            fleet.waits[TargetId(f'm{index}')] = index / 100
        for preferred in fleet.selector.preferred(MODEL, PROMPT):
            fleet.waits[preferred.id] = 1.0
        chosen.append(min(fleet.select(), key=lambda one: fleet.waits[one]))
    most_count = max(chosen.count(target) for target in set(chosen))
    assert most_count <= 33 / 3
    assert len(set(chosen)) >= 8


def test_engine_that_has_cached_the_parts_is_selected() -> None:
    """Guards against shared parts that are read again at another engine.

    In a large fleet the engine that has cached them is in few samples, and it
    need not be a preferred target of the prompt.
    """
    fleet = _Fleet(200)
    caching = TargetId('m42')
    fleet.cache.on_sent(SentPrompt(caching, PROMPT.parts, 100_000))
    assert caching in fleet.select()
    fleet.cache.reset(caching)
    assert not fleet.cache.targets_caching(PROMPT, 5)


def test_removed_engine_is_not_selected() -> None:
    """Guards against requests to a target that has left the fleet.

    The estimate of the prefix caches and the stored order of preferred
    targets may still contain it.
    """
    fleet = _Fleet(200)
    fleet.cache.on_sent(SentPrompt(TargetId('m42'), PROMPT.parts, 100_000))
    preferred = {entry.id for entry in fleet.selector.preferred(MODEL, PROMPT)}
    left = preferred | {TargetId('m42')}
    fleet.registry.apply(
        [entry for entry in map(_entry, range(200)) if entry.id not in left], 1
    )
    assert not fleet.select(1) & left


def test_idle_paused_targets_hide_those_that_take_requests() -> None:
    """Guards against candidates that are all paused in a large fleet.

    Targets without requests have the lowest load.
    """
    fleet = _Fleet(60)
    paused = fleet.registry.ready(MODEL)[:30]
    for entry in paused:
        fleet.pauses.on_answer(entry, 60.0, 0, 0)
        fleet.waits[entry.id] = 0
    paused_ids = {entry.id for entry in paused}
    selections = [fleet.select(number * 0.02) for number in range(50)]
    assert all(len(one - paused_ids) >= 3 for one in selections)
