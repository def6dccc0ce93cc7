"""Tests of the request rates of cold targets, without any I/O."""

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from dotterelhatch.core.peers import heartbeat_interval_seconds
from dotterelhatch.core.registry import TargetEntry, TargetState
from dotterelhatch.core.routes import ServiceSpec, WarmupSpec
from dotterelhatch.core.warmup import (
    FleetSplit,
    WarmupBounds,
    WarmupLimits,
    fleet_rate_per_second,
)
from dotterelhatch.ids import FailureDomain, RouterId, ServiceId, TargetId

SERVICE = ServiceId('s')
SPEC = WarmupSpec(duration_seconds=3.0, requests_per_second=15.0)
BOUNDS = WarmupBounds(overshoot_ratio=1.5, slack_count=5)
# What a cold target may get in any second, from all routers.
ALLOWED_COUNT = 27
STEP_SECONDS = 0.02
# A fleet has heard all of its routers and their views have settled.
SETTLED_SECONDS = 10.0
ALWAYS_COLD_SECONDS = 100_000.0


def _entry(
    name: str = 'i1',
    cold_left_seconds: float = 3.0,
    row_version: int = 1,
    started_ms: int = 1,
) -> TargetEntry:
    return TargetEntry(
        id=TargetId(name),
        service=SERVICE,
        address='127.0.0.1:1',
        failure_domain=FailureDomain('d'),
        state=TargetState.READY,
        slots_count=6,
        started_ms=started_ms,
        cold_left_seconds=cold_left_seconds,
        row_version=row_version,
    )


def _limits(
    router: str = 'r0',
    started_seconds: float = -SETTLED_SECONDS,
    addresses_count: Callable[[], int] = int,
    bounds: WarmupBounds = BOUNDS,
    spec: WarmupSpec | None = SPEC,
) -> WarmupLimits:
    split = FleetSplit(RouterId(router), started_seconds, addresses_count)
    limits = WarmupLimits(RouterId(router), split, bounds)
    limits.apply_services({SERVICE: ServiceSpec(SERVICE, warmup=spec)})
    return limits


class _Fleet:
    """Routers that send each target all that they may, at any time.

    :param seeds_count: other routers whose addresses each one is started with.
    """

    def __init__(
        self, count: int, *entries: TargetEntry, seeds_count: int = 0
    ) -> None:
        self.now_seconds = 0.0
        self.sent: dict[TargetId, list[float]] = {
            entry.id: [] for entry in entries
        }
        self.entries = entries
        # Routers with the same number hear each other.
        self.parts = [0] * count
        self.down: set[int] = set()
        self._rng = random.Random(count)
        self._seeds_count = min(seeds_count, count - 1)
        self._interval_seconds = heartbeat_interval_seconds(count - 1)
        self._due = [
            self._rng.random() * self._interval_seconds for _ in range(count)
        ]
        self.routers = [self._start(number) for number in range(count)]

    def restart(self, number: int) -> None:
        """Replace a router by one that knows no peer."""
        self.routers[number] = self._start(number)

    def list_entries(self, *entries: TargetEntry) -> None:
        """Let all routers read these rows."""
        for router in self.routers:
            router.on_entries(entries, self.now_seconds)

    def run(self, seconds: float) -> None:
        """Exchange heartbeats and send requests."""
        end_seconds = self.now_seconds + seconds
        while self.now_seconds < end_seconds:
            self.now_seconds += STEP_SECONDS
            self._exchange_heartbeats()
            for number, router in enumerate(self.routers):
                if number not in self.down:
                    self._send_all(router)

    def max_window_count(self, target: str = 'i1') -> int:
        """Return the most requests to a target within a second."""
        sent = self.sent[TargetId(target)]
        most_count = start = 0
        for end, sent_seconds in enumerate(sent):
            while sent_seconds - sent[start] > 1:
                start += 1
            most_count = max(most_count, end - start + 1)
        return most_count

    def sent_count(self, since_seconds: float, target: str = 'i1') -> int:
        """Return the requests to a target since a time."""
        return sum(one > since_seconds for one in self.sent[TargetId(target)])

    def _start(self, number: int) -> WarmupLimits:
        router = _limits(
            f'r{number}', self.now_seconds, lambda: self._seeds_count
        )
        router.on_entries(self.entries, self.now_seconds)
        return router

    def _exchange_heartbeats(self) -> None:
        for number, due_seconds in enumerate(self._due):
            if self.now_seconds < due_seconds:
                continue
            self._due[number] += self._interval_seconds
            if number in self.down:
                continue
            sender = RouterId(f'r{number}')
            for other, router in enumerate(self.routers):
                is_heard = self.parts[other] == self.parts[number]
                if other != number and is_heard:
                    router.split.on_heartbeat(sender, self.now_seconds)

    def _send_all(self, router: WarmupLimits) -> None:
        for entry in self.entries:
            if router.wait_seconds(entry, self.now_seconds) <= 0:
                router.on_placed(entry, self.now_seconds)
                self.sent[entry.id].append(self.now_seconds)
