"""Tests of the request rates that routers share, without any I/O."""

import itertools
import random
from collections import deque
from dataclasses import replace

import pytest

from dotterelhatch.core.registry import TargetEntry, TargetState
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.ids import FailureDomain, RouterId, ServiceId, TargetId

WINDOW_SECONDS = 4.0
STABLE_SECONDS = 4.0
# What the users allow in a window.
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK_COUNT = 5
END_SECONDS = 30.0
ANSWER_SECONDS = 0.05
STEP_SECONDS = 0.01


def _entry(name: str = 'i1', started_ms: int = 1) -> TargetEntry:
    return TargetEntry(
        id=TargetId(name),
        service=ServiceId('s'),
        address='127.0.0.1:1',
        failure_domain=FailureDomain('d'),
        state=TargetState.READY,
        slots_count=6,
        started_ms=started_ms,
    )


def _limits(
    *others: str, rates: dict[str, float] | None = None
) -> TargetLimits:
    known = {name: 9.0 for name in ('r1', *others)} | (rates or {})
    members = {RouterId(name): rate for name, rate in known.items()}
    return TargetLimits(RouterId('r1'), lambda: members)


class _Fleet:
    """Routers that get requests all the time, and one target with a limit."""

    def __init__(
        self, rates: list[float], limit_per_second: float, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.limit_per_second: float | None = limit_per_second
        self.entry = _entry()
        self.sent: list[tuple[float, int]] = []
        self.rejected_count = 0
        self.cut_off: set[int] = set()
        self.down: set[int] = set()
        self._rates = rates
        self.routers = [self._router(one) for one in range(len(rates))]
        self._answers: deque[tuple[float, int, float]] = deque()
        self._interval_seconds = max(0.2, 0.005 * len(rates))

    def run_until(self, now_seconds: float, end_seconds: float) -> None:
        """Send requests at random, and exchange reports."""
        while now_seconds < end_seconds:
            now_seconds += STEP_SECONDS
            for number, rate in enumerate(self._rates):
                if number in self.down:
                    continue
                if self.rng.random() < rate * STEP_SECONDS:
                    self._send(number, now_seconds)
                if self.rng.random() < STEP_SECONDS / self._interval_seconds:
                    self._report(number, now_seconds)
            self._answer(now_seconds)

    def restart(self, number: int) -> None:
        """Replace a router by one that knows no limits."""
        self.routers[number] = self._router(number)

    def _router(self, number: int) -> TargetLimits:
        return TargetLimits(
            RouterId(f'r{number}'), lambda: self._members(number)
        )

    def _members(self, number: int) -> dict[RouterId, float]:
        """Return the routers that one shares with, as PeerDirectory does."""
        is_cut = number in self.cut_off
        live = {
            one
            for one in range(len(self._rates))
            if one not in self.down and (one in self.cut_off) == is_cut
        }
        if 2 * len(live) <= len(self._rates):
            live = set(range(len(self._rates)))
        return {RouterId(f'r{one}'): self._rates[one] for one in live}

    def _send(self, number: int, now_seconds: float) -> None:
        limits = self.routers[number]
        if limits.wait_seconds(self.entry, 0, now_seconds):
            self.rejected_count += 1
            return
        limits.on_placed(self.entry, now_seconds)
        self.sent.append((now_seconds, number))
        self._answers.append(
            (now_seconds + ANSWER_SECONDS, number, now_seconds)
        )

    def _answer(self, now_seconds: float) -> None:
        while self._answers and self._answers[0][0] <= now_seconds:
            _, number, sent_seconds = self._answers.popleft()
            self.routers[number].on_answer(
                self.entry, self.limit_per_second, sent_seconds, now_seconds
            )

    def _report(self, number: int, now_seconds: float) -> None:
        reports = self.routers[number].report(now_seconds)
        is_cut = number in self.cut_off
        for other, peer in enumerate(self.routers):
            if other != number and (other in self.cut_off) == is_cut:
                peer.on_report(reports, now_seconds)

    def most_in_window(self, from_seconds: float) -> int:
        """Return the most requests that the target got in a window."""
        times = [seconds for seconds, _ in self.sent if seconds > from_seconds]
        return max(
            (
                sum(
                    start <= seconds < start + WINDOW_SECONDS
                    for seconds in times
                )
                for start in times
            ),
            default=0,
        )


def _allowed(limit_per_second: float) -> float:
    window = limit_per_second * WINDOW_SECONDS
    return window * ALLOWED_FACTOR + ALLOWED_SLACK_COUNT


@pytest.mark.parametrize('limit_per_second', [0.4, 1.2, 5.3, 40.0])
@pytest.mark.parametrize('routers_count', [1, 4, 33, 370])
def test_routers_together_keep_to_the_limit(
    routers_count: int, limit_per_second: float
) -> None:
    """Guards against a limit that each router keeps for itself.

    With 370 routers one request of each is far beyond it. Callers ask for
    three times the limit, and most of them at a few routers.
    """
    total_per_second = max(3 * limit_per_second, routers_count / 10)
    weights = [1 / (one + 1) for one in range(routers_count)]
    rates = [total_per_second * weight / sum(weights) for weight in weights]
    fleet = _Fleet(rates, limit_per_second, seed=1)
    fleet.run_until(0, 16)
    most_count = fleet.most_in_window(STABLE_SECONDS)
    assert most_count <= _allowed(limit_per_second)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('limit_per_second', [1.2, 5.3, 20.0])
def test_limit_holds_while_routers_come_go_and_are_cut_off(
    limit_per_second: float, seed: int
) -> None:
    """Guards against routers with different views that all send.

    One of four routers is cut off, one restarts again and again, and one is
    down for a while.
    """
    fleet = _Fleet([12.0, 12.0, 12.0, 12.0], limit_per_second, seed)
    fleet.run_until(0, 6)
    fleet.cut_off.add(0)
    fleet.run_until(6, 11)
    fleet.cut_off.discard(0)
    for seconds in range(11, 17, 2):
        fleet.restart(1)
        fleet.run_until(seconds, seconds + 2)
    fleet.down.add(2)
    fleet.run_until(17, 22)
    fleet.down.discard(2)
    fleet.restart(2)
    fleet.run_until(22, END_SECONDS)
    assert fleet.most_in_window(STABLE_SECONDS) <= _allowed(limit_per_second)


@pytest.mark.parametrize('routers_count', [4, 33])
def test_limit_is_used_where_callers_spread_unevenly(
    routers_count: int,
) -> None:
    """Guards against a limit that is left unused while requests are rejected.

    Each router gets another rate of requests; all together ask for twice what
    the target takes.
    """
    limit_per_second = float(routers_count)
    rates = [0.2 + one % 4 for one in range(routers_count)]
    scale = 2 * limit_per_second / sum(rates)
    fleet = _Fleet([rate * scale for rate in rates], limit_per_second, seed=2)
    fleet.run_until(0, END_SECONDS)
    sent_count = sum(seconds > STABLE_SECONDS for seconds, _ in fleet.sent)
    expected = limit_per_second * (END_SECONDS - STABLE_SECONDS)
    assert fleet.rejected_count
    assert sent_count >= 0.8 * expected


def test_limit_ends_when_answers_no_longer_name_it() -> None:
    """Guards against a limit that outlives the need of the target."""
    fleet = _Fleet([9.0, 9.0, 9.0], 2.0, seed=3)
    fleet.run_until(0, 8)
    fleet.limit_per_second = None
    fleet.run_until(8, 12)
    before_count = fleet.rejected_count
    fleet.run_until(12, 16)
    assert before_count
    assert fleet.rejected_count == before_count


def test_answer_to_an_earlier_request_does_not_end_the_limit() -> None:
    """Guards against a late answer that lets all routers send again.

    Its request was sent before the target named the limit.
    """
    limits = _limits()
    entry = _entry()
    limits.on_answer(entry, 2.0, 1.0, 1.2)
    limits.on_answer(entry, None, 1.1, 1.3)
    assert limits.limited_count == 1
    limits.on_answer(entry, None, 1.3, 1.4)
    assert limits.limited_count == 0


def test_older_report_does_not_replace_a_newer_limit() -> None:
    """Guards against a report that was under way when the limit changed."""
    limits = _limits('r2')
    entry = _entry()
    limits.on_answer(entry, 2.0, 1.0, 1.2)
    (report,) = limits.report(1.2)
    limits.on_answer(entry, 5.0, 1.4, 1.5)
    assert not limits.on_report([replace(report, age_seconds=0.5)], 1.6)
    assert limits.report(1.6)[0].limit_per_second == 5.0


def test_restarted_target_has_no_limit() -> None:
    """Guards against the limit of a former start of a target."""
    limits = _limits('r2')
    limits.on_answer(_entry(), 0.1, 1.0, 1.2)
    assert limits.wait_seconds(_entry(), 0, 1.3)
    assert not limits.wait_seconds(_entry(started_ms=2), 0, 1.3)


def test_organisation_above_its_share_leaves_the_token_to_others() -> None:
    """Guards against one organisation that takes every token.

    It sends all the time; another one, below its share, asks now and then.
    """
    limits = _limits()
    entry = _entry()
    limits.on_answer(entry, 2.0, 0, 0)
    served = {'flood': 0, 'small': 0}
    for step in itertools.takewhile(lambda one: one < 1000, itertools.count()):
        now_seconds = step / 50
        for name, ratio, is_sent in (
            ('flood', 1.5, True), ('small', 0.5, step % 25 == 0)
        ):  # fmt: skip
            if is_sent and not limits.wait_seconds(entry, ratio, now_seconds):
                limits.on_placed(entry, now_seconds)
                served[name] += 1
    assert served['small'] >= 35
    assert served['small'] + served['flood'] <= 42


def test_report_is_bounded() -> None:
    """Guards against heartbeats that grow with the targets of the fleet."""
    limits = _limits()
    for number in range(1000):
        limits.on_answer(_entry(f'i{number}'), 2.0, 1.0, 1.2)
    assert len(limits.report(2)) == 256
    assert not limits.report(60)
