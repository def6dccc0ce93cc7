"""Callers, routers and engines on one virtual clock."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from emulator.engine import Engine, EngineRequest
from emulator.patterns import REQUEST_KINDS, Pattern, RequestKind
from emulator.policies import POLICIES, IncomingRequest, Policy

__all__ = ('Outcome', 'Simulation')

ENGINES_COUNT: Final = 5
ROUTERS_COUNT: Final = 4
ORGANISATIONS_COUNT: Final = 16
FAULT_PERIOD_SECONDS: Final = (10.0, 20.0)
_TICK_SECONDS: Final = 0.005
_HEARTBEAT_SECONDS: Final = 0.1
_LATE_ANSWER_WORTH_RATIO: Final = 0.3
_RETRY_SECONDS: Final = (0.2, 0.8)
_CALLER_SECONDS: Final = 0.008


@dataclass
class Outcome:
    """How one request ended.

    :param first_seconds: from the first attempt to the first event, None when
        it was refused or abandoned.
    """

    kind: RequestKind
    organisation: str
    began_seconds: float
    refusals_count: int = 0
    first_seconds: float | None = None

    @property
    def worth(self) -> float:
        """Return what the caller got."""
        if self.first_seconds is None:
            return 0.0
        in_time = self.first_seconds <= self.kind.objective_seconds
        return self.kind.worth * (1.0 if in_time else _LATE_ANSWER_WORTH_RATIO)


@dataclass
class _Running:
    outcome: Outcome
    engine: int
    request: EngineRequest
    router: Policy
    request_index: int
    has_begun: bool = False


@dataclass(order=True)
class _Event:
    at_seconds: float
    number: int
    run: Callable[[], None] = field(compare=False)


class Simulation:
    """One run of a pattern with a policy.

    :param pattern: the load.
    :param policy: name of the policy of all routers.
    :param seed: of every random choice.
    """

    def __init__(self, pattern: Pattern, policy: str, seed: int) -> None:
        """Start idle."""
        self.outcomes: list[Outcome] = []
        self.engines = [Engine() for _ in range(ENGINES_COUNT)]
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._routers = [
            POLICIES[policy](
                f'r{one}', ENGINES_COUNT, random.Random(seed + one)
            )
            for one in range(ROUTERS_COUNT)
        ]
        self._request_indexes = {
            router.name: itertools.count() for router in self._routers
        }
        self._running: list[_Running] = []
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._now_seconds = 0.0
        weights = [1.8**-one for one in range(ORGANISATIONS_COUNT)]
        self._weights = [max(one, 0.01) for one in weights]

    def run(
        self, seconds: float, on_second: Callable[[int], None] = lambda _: None
    ) -> None:
        """Play the pattern.

        :param on_second: is called once per emulated second.
        """
        self._at(0, self._arrive)
        next_heartbeat = 0.0
        while self._now_seconds < seconds:
            while (
                self._events and self._events[0].at_seconds <= self._now_seconds
            ):
                heapq.heappop(self._events).run()
            if self._now_seconds >= next_heartbeat:
                next_heartbeat += _HEARTBEAT_SECONDS
                self._send_heartbeats()
            if int(self._now_seconds + _TICK_SECONDS) > int(self._now_seconds):
                on_second(int(self._now_seconds) + 1)
            self._now_seconds += _TICK_SECONDS
            self._advance()

    @property
    def _in_fault_period(self) -> bool:
        start, end = FAULT_PERIOD_SECONDS
        return start <= self._now_seconds < end

    def _at(self, delay_seconds: float, run: Callable[[], None]) -> None:
        event = _Event(
            self._now_seconds + delay_seconds, next(self._numbers), run
        )
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        pattern = self._pattern
        kind = self._rng.choices(REQUEST_KINDS, self._kind_weights())[0]
        outcome = Outcome(kind, self._organisation(), self._now_seconds)
        self.outcomes.append(outcome)
        parts = self._parts(kind)
        self._send(outcome, parts, retries_left=1)
        rate = pattern.requests_per_second * sum(self._kind_weights())
        if self._in_fault_period:
            hot_share = self._weights[0] / sum(self._weights)
            rate *= 1 + hot_share * (pattern.hot_factor - 1)
        self._at(self._rng.expovariate(rate), self._arrive)

    def _kind_weights(self) -> list[float]:
        pattern = self._pattern
        weights = []
        for kind in REQUEST_KINDS:
            hit = pattern.burst_kind in {None, kind.name}
            factor = (
                pattern.burst_factor if self._in_fault_period and hit else 1
            )
            weights.append(kind.rate_share * factor)
        return weights

    def _organisation(self) -> str:
        weights = list(self._weights)
        if self._in_fault_period:
            weights[0] *= self._pattern.hot_factor
        index = self._rng.choices(range(ORGANISATIONS_COUNT), weights)[0]
        return f'org-{index}'

    def _parts(self, kind: RequestKind) -> tuple[tuple[str, int], ...]:
        prefix_index = self._rng.randrange(kind.prefixes_count)
        is_hot = self._rng.random() < self._pattern.hot_prefix_share
        if is_hot and self._in_fault_period:
            prefix_index = 0
        own = max(16, int(self._rng.expovariate(1 / kind.own_tokens)))
        base = int(kind.shared_tokens * 0.4)
        return (
            (f'{kind.name}-base-{prefix_index % 4}', base),
            (f'{kind.name}-{prefix_index}', kind.shared_tokens - base),
            (f'own-{next(self._numbers)}', own),
        )

    def _send(
        self,
        outcome: Outcome,
        parts: tuple[tuple[str, int], ...],
        retries_left: int,
    ) -> None:
        lost = self._pattern.lost_routers_count if self._in_fault_period else 0
        router = self._rng.choice(self._routers[lost:])
        age_seconds = self._now_seconds - outcome.began_seconds
        incoming = IncomingRequest(
            outcome.kind, outcome.organisation, parts, age_seconds
        )
        engine = router.choose(incoming, self._now_seconds)
        if engine is None:
            outcome.refusals_count += 1
            if retries_left:
                self._at(
                    self._rng.uniform(*_RETRY_SECONDS),
                    lambda: self._send(outcome, parts, retries_left - 1),
                )
            return
        request = EngineRequest(parts, outcome.kind.output_tokens)
        self.engines[engine].submit(request, self._now_seconds)
        request_index = next(self._request_indexes[router.name])
        self._running.append(
            _Running(outcome, engine, request, router, request_index)
        )

    def _advance(self) -> None:
        pattern = self._pattern
        for index, engine in enumerate(self.engines):
            slow = self._in_fault_period and index == 0
            engine.step_time_factor = pattern.slow_factor if slow else 1.0
            if not (
                self._in_fault_period and index < pattern.lost_engines_count
            ):
                engine.advance(self._now_seconds)
        self._running = [one for one in self._running if self._follow(one)]

    def _follow(self, running: _Running) -> bool:
        """Report progress; return whether the request is still running."""
        first = running.request.first_seconds
        if first is not None and not running.has_begun:
            running.has_begun = True
            running.router.on_first_event(
                running.request_index, self._now_seconds
            )
            outcome = running.outcome
            outcome.first_seconds = (
                first - outcome.began_seconds + _CALLER_SECONDS
            )
        if running.request.end_seconds is None:
            return True
        running.router.on_request_end(running.request_index, self._now_seconds)
        return False

    def _send_heartbeats(self) -> None:
        for router in self._routers:
            others = [one for one in self._routers if one is not router]
            router.send_heartbeats(others, self._now_seconds)
