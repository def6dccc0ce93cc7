"""Discrete-event simulation of callers, routers and engines."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from dotterelhatch.core.peers import heartbeat_interval_seconds
from emulator.engine import Engine, EngineRequest
from emulator.patterns import Pattern, RequestKind
from emulator.policies import POLICIES, IncomingRequest, Policy

__all__ = ('FleetSize', 'Outcome', 'Simulation')

ORGANISATIONS_COUNT: Final = 16
FAULT_PERIOD_SECONDS: Final = (10.0, 20.0)
_TICK_SECONDS: Final = 0.005
# The load of the patterns and their number of prompt prefixes are those of so
# many engines.
_PATTERN_ENGINES_COUNT: Final = 5
_RETRY_DELAY_RANGE_SECONDS: Final = (0.2, 0.8)
_CALLER_LATENCY_SECONDS: Final = 0.008
_PAUSE_SECONDS: Final = 2.0
# Engines that a router sends a request to at most.
_MAX_SENDS_COUNT: Final = 3


@dataclass(frozen=True)
class FleetSize:
    """Size of a fleet; the load grows with the number of engines."""

    routers_count: int = 4
    engines_count: int = _PATTERN_ENGINES_COUNT

    @property
    def load_factor(self) -> float:
        """Return the load relative to that of the patterns."""
        return self.engines_count / _PATTERN_ENGINES_COUNT


@dataclass
class Outcome:
    """Outcome of one request.

    :param sent_seconds: virtual time of the first attempt.
    :param late_worth_ratio: worth of a late response.
    :param own_tokens: length of the part that is unique to the request.
    :param first_event_seconds: time from the first attempt to the first event,
        None without one.
    """

    kind: RequestKind
    organisation: str
    sent_seconds: float
    late_worth_ratio: float = 0.3
    own_tokens: int = 0
    rejections_count: int = 0
    first_event_seconds: float | None = None

    @property
    def worth(self) -> float:
        """Return the score of the response; a late one counts less."""
        if self.first_event_seconds is None:
            return 0.0
        in_time = self.first_event_seconds <= self.kind.objective_seconds
        return self.kind.worth * (1.0 if in_time else self.late_worth_ratio)


@dataclass
class _RunningRequest:
    outcome: Outcome
    engine: int
    request: EngineRequest
    router: Policy
    request_index: int
    has_first_event: bool = False


@dataclass(order=True)
class _Event:
    at_seconds: float
    sequence_number: int
    run: Callable[[], None] = field(compare=False)


class Simulation:
    """One run of a load pattern with a routing policy.

    :param pattern: load and faults.
    :param policy: name of the policy that all routers use.
    :param seed: of all random number generators.
    :param size: number of routers and engines.
    """

    def __init__(
        self,
        pattern: Pattern,
        policy: str,
        seed: int,
        size: FleetSize = FleetSize(),
    ) -> None:
        """Create idle engines and routers."""
        self.outcomes: list[Outcome] = []
        # Time and engine of each request that an engine received.
        self.sends: list[tuple[float, int]] = []
        self.engines = [_engine(pattern) for _ in range(size.engines_count)]
        self._pattern = pattern
        self._size = size
        self._rng = random.Random(seed)
        self._routers = [
            POLICIES[policy](
                f'r{index}',
                size.engines_count,
                random.Random(seed + index),
                pattern,
            )
            for index in range(size.routers_count)
        ]
        self._request_indexes = {
            router.name: itertools.count() for router in self._routers
        }
        self._running: list[_RunningRequest] = []
        self._events: list[_Event] = []
        self._sequence_numbers = itertools.count()
        self._now_seconds = 0.0
        self._arrival_seconds = 0.0
        weights = [1.8**-index for index in range(ORGANISATIONS_COUNT)]
        self._weights = [max(weight, 0.01) for weight in weights]
        if pattern.organisations_count:
            self._weights = [1.0] * pattern.organisations_count

    def run(
        self, seconds: float, on_second: Callable[[int], None] = lambda _: None
    ) -> None:
        """Run the pattern.

        :param seconds: virtual length of the run.
        :param on_second: is called once per virtual second.
        """
        self._schedule(0, self._arrive)
        if self._pattern.leaving_engines_count:
            self._schedule(
                FAULT_PERIOD_SECONDS[1], self._restart_leaving_engines
            )
        for index, router in enumerate(self._routers):
            self._schedule(
                self._heartbeat_seconds * index / len(self._routers),
                functools.partial(self._send_heartbeats, router),
            )
        while self._now_seconds < seconds:
            while (
                self._events and self._events[0].at_seconds <= self._now_seconds
            ):
                heapq.heappop(self._events).run()
            if int(self._now_seconds + _TICK_SECONDS) > int(self._now_seconds):
                on_second(int(self._now_seconds) + 1)
            self._now_seconds += _TICK_SECONDS
            self._advance()

    @property
    def _in_fault_period(self) -> bool:
        start, end = FAULT_PERIOD_SECONDS
        return start <= self._now_seconds < end

    def _schedule(self, delay_seconds: float, run: Callable[[], None]) -> None:
        event = _Event(
            self._now_seconds + delay_seconds, next(self._sequence_numbers), run
        )
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        pattern = self._pattern
        kind = self._rng.choices(pattern.kinds, self._kind_weights())[0]
        outcome = Outcome(
            kind,
            self._organisation(),
            self._now_seconds,
            pattern.late_worth_ratio,
        )
        self.outcomes.append(outcome)
        parts = self._parts(kind)
        outcome.own_tokens = parts[-1][1]
        self._send(outcome, parts, retries_left=1)
        rate = pattern.requests_per_second * sum(self._kind_weights())
        rate *= self._size.load_factor
        if self._in_fault_period:
            hot_weight = sum(self._weights[: pattern.hot_count])
            hot_share = hot_weight / sum(self._weights)
            rate *= 1 + hot_share * (pattern.hot_factor - 1)
        # From the time of the last arrival, which is up to a tick ago.
        self._arrival_seconds += self._rng.expovariate(rate)
        self._schedule(self._arrival_seconds - self._now_seconds, self._arrive)

    def _kind_weights(self) -> list[float]:
        pattern = self._pattern
        weights = []
        for kind in pattern.kinds:
            is_affected = pattern.burst_kind in {None, kind.name}
            factor = (
                pattern.burst_factor
                if self._in_fault_period and is_affected
                else 1
            )
            weights.append(kind.rate_share * factor)
        return weights

    def _organisation(self) -> str:
        weights = list(self._weights)
        if self._in_fault_period:
            for hot in range(self._pattern.hot_count):
                weights[hot] *= self._pattern.hot_factor
        index = self._rng.choices(range(len(weights)), weights)[0]
        return f'org-{index}'

    def _parts(self, kind: RequestKind) -> tuple[tuple[str, int], ...]:
        prefixes_count = kind.prefixes_count * self._size.load_factor
        prefix_index = self._rng.randrange(round(prefixes_count))
        is_hot = self._rng.random() < self._pattern.hot_prefix_share
        if is_hot and self._in_fault_period:
            prefix_index = 0
        own = max(16, int(self._rng.expovariate(1 / kind.own_tokens)))
        base = int(kind.shared_tokens * 0.4)
        return (
            (f'{kind.name}-base-{prefix_index % 4}', base),
            (f'{kind.name}-{prefix_index}', kind.shared_tokens - base),
            (f'own-{next(self._sequence_numbers)}', own),
        )

    def _send(
        self,
        outcome: Outcome,
        parts: tuple[tuple[str, int], ...],
        retries_left: int,
    ) -> None:
        lost_count = (
            self._pattern.lost_routers_count if self._in_fault_period else 0
        )
        router = self._rng.choice(self._routers[lost_count:])
        age_seconds = self._now_seconds - outcome.sent_seconds
        incoming = IncomingRequest(
            outcome.kind, outcome.organisation, parts, age_seconds
        )
        for _ in range(_MAX_SENDS_COUNT):
            engine = router.choose(incoming, self._now_seconds)
            if engine is None:
                break
            if self._submit(router, engine, outcome, parts):
                return
        outcome.rejections_count += 1
        if retries_left:
            self._schedule(
                self._rng.uniform(*_RETRY_DELAY_RANGE_SECONDS),
                lambda: self._send(outcome, parts, retries_left - 1),
            )

    def _submit(
        self,
        router: Policy,
        engine: int,
        outcome: Outcome,
        parts: tuple[tuple[str, int], ...],
    ) -> bool:
        """Send a request to an engine; return whether it was accepted."""
        self.sends.append((self._now_seconds, engine))
        request_index = next(self._request_indexes[router.name])
        paused_count = self._pattern.paused_engines_count
        if self._in_fault_period and engine < paused_count:
            router.on_pause(request_index, _PAUSE_SECONDS, self._now_seconds)
            return False
        request = EngineRequest(parts, outcome.kind.output_tokens)
        self.engines[engine].submit(request, self._now_seconds)
        self._running.append(
            _RunningRequest(outcome, engine, request, router, request_index)
        )
        return True

    def _restart_leaving_engines(self) -> None:
        for engine in range(self._pattern.leaving_engines_count):
            for router in self._routers:
                router.on_started(engine, self._now_seconds)

    def _advance(self) -> None:
        pattern = self._pattern
        for index, engine in enumerate(self.engines):
            is_slow = self._in_fault_period and index == 0
            engine.step_time_factor = (
                pattern.slow_factor if is_slow else 1.0
            ) / pattern.speeds[index % len(pattern.speeds)]
            if not (
                self._in_fault_period and index < pattern.lost_engines_count
            ):
                engine.advance(self._now_seconds)
        self._running = [
            running
            for running in self._running
            if self._update_progress(running)
        ]

    def _update_progress(self, running: _RunningRequest) -> bool:
        """Report progress to the router; return whether the request runs."""
        first_seconds = running.request.first_token_seconds
        if first_seconds is not None and not running.has_first_event:
            running.has_first_event = True
            running.router.on_first_event(
                running.request_index,
                self._now_seconds,
                is_leaving=self._in_fault_period
                and running.engine < self._pattern.leaving_engines_count,
            )
            outcome = running.outcome
            outcome.first_event_seconds = (
                first_seconds - outcome.sent_seconds + _CALLER_LATENCY_SECONDS
            )
        if running.request.end_seconds is None:
            return True
        running.router.on_request_end(running.request_index, self._now_seconds)
        return False

    @property
    def _heartbeat_seconds(self) -> float:
        return heartbeat_interval_seconds(len(self._routers) - 1)

    def _send_heartbeats(self, router: Policy) -> None:
        others = [other for other in self._routers if other is not router]
        router.send_heartbeats(others, self._now_seconds)
        self._schedule(
            self._heartbeat_seconds,
            functools.partial(self._send_heartbeats, router),
        )


def _engine(pattern: Pattern) -> Engine:
    if pattern.memory_tokens is None:
        return Engine()
    return Engine(memory_tokens=pattern.memory_tokens, grows=True)
