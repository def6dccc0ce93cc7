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
FINGERPRINTS = tuple(Fingerprint(f'f{number}') for number in range(6))
ROUTERS_COUNT = 3
REJECT = SuspectVerdict.REJECT


@dataclass(frozen=True)
class RunningRequest:
    """A request that is running on a target."""

    fingerprint: Fingerprint
    router: int
    isolated: bool


class Fleet:
    """Routers and targets that run requests by a generated schedule.

    Crash reports reach every router at once, as ``CrashSuspects`` requires,
    and again later. Reports of completions arrive late, in any order, and
    may be duplicated.

    :param crashing: requests that crash the target they run on.
    """

    def __init__(self, crashing: frozenset[Fingerprint]) -> None:
        self.crashing = crashing
        self.routers = [CrashSuspects() for _ in range(ROUTERS_COUNT)]
        self.running: dict[TargetId, list[RunningRequest]] = {
            one: [] for one in TARGETS
        }
        self.pending: list[tuple[int, CrashReport]] = []
        self.crashed: dict[Fingerprint, set[TargetId]] = {}

    def start(self, fingerprint: Fingerprint, router: int, choice: int) -> None:
        suspects = self.routers[router]
        verdict = suspects.verdict(fingerprint, 0)
        all_runs = [run for runs in self.running.values() for run in runs]
        if verdict is SuspectVerdict.CLEAR:
            # Copies that run before the first crash can each crash a target,
            # which is a known limit; so only one copy runs.
            if all(run.fingerprint != fingerprint for run in all_runs):
                target = TARGETS[choice % len(TARGETS)]
                self.running[target].append(
                    RunningRequest(fingerprint, router, False)
                )
        elif verdict is SuspectVerdict.ISOLATE:
            chosen = suspects.isolation_target(fingerprint, TARGETS, 0)
            if chosen and not any(run.isolated for run in self.running[chosen]):
                self.running[chosen].append(
                    RunningRequest(fingerprint, router, True)
                )

    def finish(self, target: TargetId) -> None:
        runs, self.running[target] = self.running[target], []
        fingerprints = {run.fingerprint for run in runs}
        has_crashed = bool(fingerprints & self.crashing)
        for router, suspects in enumerate(self.routers):
            own_fingerprints = [
                run.fingerprint for run in runs if run.router == router
            ]
            if has_crashed:
                reports = suspects.on_crash(target, own_fingerprints, 0)
            else:
                reports = [
                    report
                    for one in own_fingerprints
                    for report in suspects.on_completed(one, 0)
                ]
            self.send(router, reports, is_immediate=has_crashed)
        if has_crashed:
            for fingerprint in fingerprints:
                self.crashed.setdefault(fingerprint, set()).add(target)

    def send(
        self, sender: int, reports: list[CrashReport], *, is_immediate: bool
    ) -> None:
        for report in reports:
            for router, suspects in enumerate(self.routers):
                if router != sender:
                    self.pending.append((router, report))
                    if is_immediate:
                        suspects.on_report(report, 0)

    def deliver(self, choice: int, *, duplicate: bool) -> None:
        if self.pending:
            index = choice % len(self.pending)
            router, report = self.pending[index]
            self.routers[router].on_report(report, 0)
            if not duplicate:
                self.pending.pop(index)

    def run_schedule(self, steps: list[tuple[str, int, int, int]]) -> None:
        for step, first, second, third in steps:
            if step == 'start':
                one = FINGERPRINTS[first % len(FINGERPRINTS)]
                self.start(one, second % ROUTERS_COUNT, third)
            elif step == 'finish':
                self.finish(TARGETS[first % len(TARGETS)])
            else:
                self.deliver(first, duplicate=bool(second % 2))
        while self.pending:
            self.deliver(0, duplicate=False)


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


@given(
    schedules, st.sets(st.sampled_from(FINGERPRINTS), min_size=1, max_size=3)
)
def test_crashing_request_crashes_at_most_two_targets(
    steps: list[tuple[str, int, int, int]], crashing: set[Fingerprint]
) -> None:
    """Guards against a crashing request that crashes target after target.

    Retries and copies at several routers must stop after two targets.
    """
    fleet = Fleet(frozenset(crashing))
    fleet.run_schedule(steps)
    for one in crashing:
        targets = fleet.crashed.get(one, set())
        assert len(targets) <= 2
        if len(targets) == 2:
            verdicts = {suspects.verdict(one, 0) for suspects in fleet.routers}
            assert verdicts == {REJECT}


@given(schedules)
def test_harmless_request_beside_a_crashing_one_is_not_rejected(
    steps: list[tuple[str, int, int, int]],
) -> None:
    """Guards against rejecting requests that ran beside one crashing request.

    They become suspects with it, and their isolated runs must clear them.
    """
    fleet = Fleet(frozenset(FINGERPRINTS[:1]))
    fleet.run_schedule(steps)
    for one in FINGERPRINTS[1:]:
        verdicts = {suspects.verdict(one, 0) for suspects in fleet.routers}
        assert len(verdicts) == 1
        assert REJECT not in verdicts


def test_rejection_lasts_ten_minutes_from_the_second_crash() -> None:
    """Guards against duplicate reports that prolong a rejection.

    Routers repeat reports, and a report may arrive long after the crash.
    """
    suspects = CrashSuspects()
    [first] = suspects.on_crash(TARGETS[0], FINGERPRINTS[:1], 0)
    second = CrashReport(FINGERPRINTS[0], TARGETS[1], completed=False)
    suspects.on_report(second, 100)
    for repeat in (first, second, second):
        suspects.on_report(repeat, 500)
    assert suspects.verdict(FINGERPRINTS[0], 699) is REJECT
    assert suspects.verdict(FINGERPRINTS[0], 700) is SuspectVerdict.CLEAR
    assert not len(suspects)


def test_late_report_of_a_cleared_crash_is_ignored() -> None:
    """Guards against a cleared crash that counts again.

    The report of a completion may arrive before that of the crash it clears.
    A crash that the router observes itself is a new one and does count.
    """
    suspects = CrashSuspects()
    late_report = CrashReport(FINGERPRINTS[0], TARGETS[0], completed=False)
    suspects.on_report(replace(late_report, completed=True), 0)
    suspects.on_report(late_report, 1)
    assert suspects.verdict(FINGERPRINTS[0], 1) is SuspectVerdict.CLEAR
    suspects.on_crash(TARGETS[0], FINGERPRINTS[:1], 2)
    assert suspects.verdict(FINGERPRINTS[0], 2) is SuspectVerdict.ISOLATE


def test_isolated_runs_use_one_target_that_did_not_crash() -> None:
    """Guards against copies at several routers that each crash a target.

    All routers must choose the same target for the isolated run.
    """
    routers = [CrashSuspects() for _ in range(ROUTERS_COUNT)]
    chosen = []
    for one in FINGERPRINTS:
        for suspects in routers:
            suspects.on_crash(TARGETS[0], [one], 0)
            chosen.append(suspects.isolation_target(one, TARGETS, 0))
    assert chosen[::3] == chosen[1::3] == chosen[2::3]
    assert len(set(chosen)) > 1
    assert TARGETS[0] not in chosen
    assert routers[0].isolation_target(FINGERPRINTS[0], TARGETS[:1], 0) is None


def test_memory_is_bounded_and_rejections_are_kept() -> None:
    """Guards against a rejection that is evicted by many new suspects.

    The number of records is limited. Without its rejection the request would
    crash further targets.
    """
    suspects = CrashSuspects(capacity_count=10)
    for target in TARGETS[:2]:
        suspects.on_crash(target, FINGERPRINTS[:1], 0)
    other_fingerprints = [Fingerprint(f'flood{index}') for index in range(100)]
    suspects.on_crash(TARGETS[0], other_fingerprints, 1)
    assert len(suspects) == 10
    assert suspects.verdict(FINGERPRINTS[0], 1) is REJECT


def test_budget_gives_one_retry_per_ten_requests() -> None:
    """Guards against retries that multiply the load of an organisation.

    If its targets fail, each of its requests would be retried without a budget.
    """
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
    """Guards against unlimited delays and against missing jitter.

    Without jitter, requests that failed together would be retried together.
    """
    backoff = Backoff(random.Random(7))
    delays = [backoff.delay_seconds(attempts) for _ in range(300)]
    assert 0 <= min(delays) < bound / 10
    assert bound * 0.9 < max(delays) <= bound


UNSENT = FailureStage.NOTHING_SENT
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
        ({'stage': UNSENT}, 'retry', None, 'no'),
        ({'stage': UNSENT, 'idempotent': False}, 'retry', None, 'no'),
        ({'stage': UNSENT, 'attempts_count': 9}, 'retry', None, 'no'),
        (
            {'stage': UNSENT, 'sent_earlier_count': 1},
            'retry',
            None,
            'unknown',
        ),
        (
            {'stage': UNSENT, 'now_seconds': 60},
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
            {'verdict': REJECT, 'stage': UNSENT},
            'give_up',
            'request_crashes_targets',
            'no',
        ),
    ],
)
def test_decide_retry(
    change: dict[str, object], action: str, kind: str | None, executed: str
) -> None:
    """Guards against running work twice and against avoidable failures.

    A request that may have been executed is retried only if it is idempotent.
    One that was certainly not executed is retried until its deadline.
    """
    attempt = replace(SENT, **change)  # type: ignore[arg-type]
    decision = decide_retry(attempt, RetryBudget(), Backoff(random.Random(1)))
    assert decision.action is RetryAction(action)
    assert decision.error_kind is (ErrorKind(kind) if kind else None)
    assert decision.executed is Executed(executed)


def test_only_retries_of_sent_requests_are_charged() -> None:
    """Guards against a budget that is spent without retries of sent requests.

    Rejected requests and attempts that sent nothing must not be charged.
    """
    budget = RetryBudget(burst_count=1)
    backoff = Backoff(random.Random(1))
    for uncharged in (replace(SENT, relayed=True), replace(SENT, stage=UNSENT)):
        decide_retry(uncharged, budget, backoff)
    assert decide_retry(SENT, budget, backoff).action is RetryAction.RETRY
    decision = decide_retry(SENT, budget, backoff)
    assert decision.error_kind is ErrorKind.TARGET_FAILED
    unsent = replace(SENT, stage=UNSENT)
    assert decide_retry(unsent, budget, backoff).action is RetryAction.RETRY
