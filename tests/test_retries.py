"""Retry budget, backoff, crash suspects and the decision to retry."""

import random
from dataclasses import dataclass, replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.messages import CrashReport
from dotterelhatch.core.retries import (
    Backoff,
    CrashSuspects,
    FailedAttempt,
    FailureStage,
    RetryAction,
    RetryBudget,
    SuspectVerdict,
    decide_retry,
)
from dotterelhatch.errors import ErrorKind, Executed
from dotterelhatch.ids import Fingerprint, OrganisationId, TargetId

ORGANISATION = OrganisationId('usta')
TARGETS = tuple(TargetId(f't{number}') for number in range(5))
PRINTS = tuple(Fingerprint(f'f{number}') for number in range(6))
ROUTERS_COUNT = 3
REJECT = SuspectVerdict.REJECT


@dataclass(frozen=True)
class Run:
    """A request that runs on a target."""

    fingerprint: Fingerprint
    router: int
    isolated: bool


class Fleet:
    """Routers and targets that run requests by a generated schedule.

    Crash reports reach every router at once, as ``CrashSuspects`` asks, and
    again at a later time; completions arrive late, in any order and again.
    """

    def __init__(self, crashers: frozenset[Fingerprint]) -> None:
        self.crashers = crashers
        self.routers = [CrashSuspects() for _ in range(ROUTERS_COUNT)]
        self.running: dict[TargetId, list[Run]] = {one: [] for one in TARGETS}
        self.pending: list[tuple[int, CrashReport]] = []
        self.crashed: dict[Fingerprint, set[TargetId]] = {}

    def start(self, fingerprint: Fingerprint, router: int, pick: int) -> None:
        suspects = self.routers[router]
        verdict = suspects.verdict(fingerprint, 0)
        everywhere = [run for runs in self.running.values() for run in runs]
        if verdict is SuspectVerdict.CLEAR:
            # Copies that run before the first crash are not covered.
            if all(run.fingerprint != fingerprint for run in everywhere):
                target = TARGETS[pick % len(TARGETS)]
                self.running[target].append(Run(fingerprint, router, False))
        elif verdict is SuspectVerdict.ISOLATE:
            chosen = suspects.isolation_target(fingerprint, TARGETS, 0)
            if chosen and not any(run.isolated for run in self.running[chosen]):
                self.running[chosen].append(Run(fingerprint, router, True))

    def finish(self, target: TargetId) -> None:
        runs, self.running[target] = self.running[target], []
        prints = {run.fingerprint for run in runs}
        crash = bool(prints & self.crashers)
        for router, suspects in enumerate(self.routers):
            mine = [run.fingerprint for run in runs if run.router == router]
            if crash:
                reports = suspects.on_crash(target, mine, 0)
            else:
                reports = [
                    report
                    for one in mine
                    for report in suspects.on_completed(one, 0)
                ]
            self.send(router, reports, at_once=crash)
        if crash:
            for fingerprint in prints:
                self.crashed.setdefault(fingerprint, set()).add(target)

    def send(
        self, sender: int, reports: list[CrashReport], *, at_once: bool
    ) -> None:
        for report in reports:
            for router, suspects in enumerate(self.routers):
                if router != sender:
                    self.pending.append((router, report))
                    if at_once:
                        suspects.on_report(report, 0)

    def deliver(self, pick: int, *, again: bool) -> None:
        if self.pending:
            index = pick % len(self.pending)
            router, report = self.pending[index]
            self.routers[router].on_report(report, 0)
            if not again:
                self.pending.pop(index)

    def play(self, steps: list[tuple[str, int, int, int]]) -> None:
        for step, first, second, third in steps:
            if step == 'start':
                one = PRINTS[first % len(PRINTS)]
                self.start(one, second % ROUTERS_COUNT, third)
            elif step == 'finish':
                self.finish(TARGETS[first % len(TARGETS)])
            else:
                self.deliver(first, again=bool(second % 2))
        while self.pending:
            self.deliver(0, again=False)


number = st.integers(0, 29)
schedules = st.lists(
    st.tuples(
        st.sampled_from(['start', 'start', 'finish', 'deliver']),
        number,
        number,
        number,
    ),
    min_size=30,
    max_size=120,
)


@given(schedules, st.sets(st.sampled_from(PRINTS), min_size=1, max_size=3))
def test_crashing_request_costs_two_targets(
    steps: list[tuple[str, int, int, int]], crashers: set[Fingerprint]
) -> None:
    """Guards against a crashing request that goes through the fleet."""
    fleet = Fleet(frozenset(crashers))
    fleet.play(steps)
    for one in crashers:
        targets = fleet.crashed.get(one, set())
        assert len(targets) <= 2
        if len(targets) == 2:
            verdicts = {suspects.verdict(one, 0) for suspects in fleet.routers}
            assert verdicts == {REJECT}


@given(schedules)
def test_innocent_beside_one_crasher_is_not_refused(
    steps: list[tuple[str, int, int, int]],
) -> None:
    """Guards against refusing what ran beside one crashing request."""
    fleet = Fleet(frozenset(PRINTS[:1]))
    fleet.play(steps)
    for one in PRINTS[1:]:
        verdicts = {suspects.verdict(one, 0) for suspects in fleet.routers}
        assert len(verdicts) == 1
        assert REJECT not in verdicts


def test_refusal_lasts_ten_minutes_from_the_second_crash() -> None:
    """Guards against duplicates that lengthen a refusal."""
    suspects = CrashSuspects()
    [first] = suspects.on_crash(TARGETS[0], PRINTS[:1], 0)
    second = CrashReport(PRINTS[0], TARGETS[1], completed=False)
    suspects.on_report(second, 100)
    for repeat in (first, second, second):
        suspects.on_report(repeat, 500)
    assert suspects.verdict(PRINTS[0], 699) is REJECT
    assert suspects.verdict(PRINTS[0], 700) is SuspectVerdict.CLEAR
    assert not len(suspects)


def test_late_report_of_a_cleared_crash_is_ignored() -> None:
    """Guards against a completion that overtakes the report it clears."""
    suspects = CrashSuspects()
    late = CrashReport(PRINTS[0], TARGETS[0], completed=False)
    suspects.on_report(replace(late, completed=True), 0)
    suspects.on_report(late, 1)
    assert suspects.verdict(PRINTS[0], 1) is SuspectVerdict.CLEAR
    suspects.on_crash(TARGETS[0], PRINTS[:1], 2)
    assert suspects.verdict(PRINTS[0], 2) is SuspectVerdict.ISOLATE


def test_isolated_runs_meet_on_one_target_that_did_not_crash() -> None:
    """Guards against copies at several routers that each cost a target."""
    routers = [CrashSuspects() for _ in range(ROUTERS_COUNT)]
    chosen = []
    for one in PRINTS:
        for suspects in routers:
            suspects.on_crash(TARGETS[0], [one], 0)
            chosen.append(suspects.isolation_target(one, TARGETS, 0))
    assert chosen[::3] == chosen[1::3] == chosen[2::3]
    assert len(set(chosen)) > 1
    assert TARGETS[0] not in chosen
    assert routers[0].isolation_target(PRINTS[0], TARGETS[:1], 0) is None


def test_memory_is_bounded_and_keeps_refusals() -> None:
    """Guards against a flood of suspects that lifts a refusal."""
    suspects = CrashSuspects(capacity_count=10)
    for target in TARGETS[:2]:
        suspects.on_crash(target, PRINTS[:1], 0)
    flood = [Fingerprint(f'flood{index}') for index in range(100)]
    suspects.on_crash(TARGETS[0], flood, 1)
    assert len(suspects) == 10
    assert suspects.verdict(PRINTS[0], 1) is REJECT


def test_budget_gives_one_retry_per_ten_requests() -> None:
    """Guards against retries that multiply the load."""
    budget = RetryBudget()
    assert [budget.try_spend(ORGANISATION) for _ in range(11)] == (
        [True] * 10 + [False]
    )
    for _ in range(19):
        budget.on_request(ORGANISATION)
    assert budget.try_spend(ORGANISATION)
    assert not budget.try_spend(ORGANISATION)
    for _ in range(500):
        budget.on_request(ORGANISATION)
    assert sum(budget.try_spend(ORGANISATION) for _ in range(20)) == 10
    budget.retain(())
    assert budget.try_spend(ORGANISATION)


@pytest.mark.parametrize(
    ('attempts', 'bound'), [(1, 0.05), (2, 0.1), (6, 1.6), (7, 2), (5000, 2)]
)
def test_backoff_stays_below_its_bound(attempts: int, bound: float) -> None:
    """Guards against a delay without limit, and against missing jitter."""
    backoff = Backoff(random.Random(7))
    delays = [backoff.delay_seconds(attempts) for _ in range(300)]
    assert 0 <= min(delays) < bound / 10
    assert bound * 0.9 < max(delays) <= bound


NOTHING = FailureStage.NOTHING_SENT
SENT = FailedAttempt(
    organisation=ORGANISATION,
    idempotent=True,
    relayed=False,
    stage=FailureStage.SENT,
    attempts_count=1,
    now_seconds=0,
    deadline_seconds=60,
)


@pytest.mark.parametrize(
    ('change', 'action', 'kind', 'executed'),
    [
        ({}, 'retry', None, 'unknown'),
        ({'idempotent': False}, 'give_up', 'target_failed', 'unknown'),
        ({'relayed': True}, 'give_up', 'target_failed', 'unknown'),
        ({'stage': FailureStage.RESPONSE_BEGUN}, 'retry', None, 'unknown'),
        ({'stage': NOTHING}, 'retry', None, 'no'),
        ({'stage': NOTHING, 'idempotent': False}, 'retry', None, 'no'),
        ({'stage': NOTHING, 'attempts_count': 9}, 'retry', None, 'no'),
        (
            {'stage': NOTHING, 'sent_earlier_count': 1},
            'retry',
            None,
            'unknown',
        ),
        (
            {'stage': NOTHING, 'now_seconds': 60},
            'give_up',
            'deadline_exceeded',
            'no',
        ),
        ({'sent_earlier_count': 2}, 'give_up', 'target_failed', 'unknown'),
        ({'now_seconds': 60}, 'give_up', 'deadline_exceeded', 'unknown'),
        (
            {'verdict': SuspectVerdict.ISOLATE},
            'retry_isolated',
            None,
            'unknown',
        ),
        (
            {'verdict': REJECT},
            'give_up',
            'request_crashes_targets',
            'unknown',
        ),
        (
            {'verdict': REJECT, 'stage': NOTHING},
            'give_up',
            'request_crashes_targets',
            'no',
        ),
    ],
)
def test_decide_retry(
    change: dict[str, object], action: str, kind: str | None, executed: str
) -> None:
    """Guards against running work twice, and against needless failures."""
    attempt = replace(SENT, **change)  # type: ignore[arg-type]
    decision = decide_retry(attempt, RetryBudget(), Backoff(random.Random(1)))
    assert decision.action is RetryAction(action)
    assert decision.error_kind is (ErrorKind(kind) if kind else None)
    assert decision.executed is Executed(executed)


def test_only_retries_of_sent_requests_take_from_the_budget() -> None:
    """Guards against a budget spent by refusals and by unsent requests."""
    budget = RetryBudget(burst_count=1)
    backoff = Backoff(random.Random(1))
    for free in (replace(SENT, relayed=True), replace(SENT, stage=NOTHING)):
        decide_retry(free, budget, backoff)
    assert decide_retry(SENT, budget, backoff).action is RetryAction.RETRY
    decision = decide_retry(SENT, budget, backoff)
    assert decision.error_kind is ErrorKind.TARGET_FAILED
    unsent = replace(SENT, stage=NOTHING)
    assert decide_retry(unsent, budget, backoff).action is RetryAction.RETRY
