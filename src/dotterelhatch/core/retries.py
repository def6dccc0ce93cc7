"""Retries of failed attempts: budget, backoff, crash suspects, decision.

A request that runs on a target while it crashes becomes a suspect. Its retry
runs isolated from other suspects, and after a second crash it is rejected.
"""

import enum
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

import mmh3

from dotterelhatch.core.messages import CrashReport
from dotterelhatch.errors import ErrorKind, Executed
from dotterelhatch.ids import Fingerprint, OrganisationId, TargetId

__all__ = (
    'Backoff',
    'CrashSuspects',
    'FailedAttempt',
    'FailureStage',
    'RetryAction',
    'RetryBudget',
    'RetryDecision',
    'SuspectVerdict',
    'decide_retry',
)

# Three attempts allow for one crashed target and one failed isolated retry.
_MAX_ATTEMPTS_COUNT: Final = 3
_REQUESTS_PER_RETRY: Final = 10
_REJECTED_AFTER_TARGETS_COUNT: Final = 2
# Beyond this exponent the backoff is at its limit for any sensible base.
_MAX_EXPONENT: Final = 32


class RetryBudget:
    """Token bucket per organisation, filled by its requests.

    The fill is counted in integer parts of a retry, because a sum of tenths
    in floating point falls short of a whole.

    :param burst_count: retries in a full bucket.
    """

    def __init__(self, burst_count: int = 10) -> None:
        """Create a full bucket for every organisation."""
        self._capacity_parts = burst_count * _REQUESTS_PER_RETRY
        self._parts_by_organisation: dict[OrganisationId, int] = {}

    def on_request(self, organisation: OrganisationId) -> None:
        """Add the credit for one request of the organisation."""
        parts = self._parts_by_organisation.get(organisation)
        if parts is None:
            return
        if parts + 1 >= self._capacity_parts:
            # A full bucket is the default and needs no entry.
            self._parts_by_organisation.pop(organisation)
        else:
            self._parts_by_organisation[organisation] = parts + 1

    def try_spend(self, organisation: OrganisationId) -> bool:
        """Take one retry from the bucket; return False if there is none."""
        parts = self._parts_by_organisation.get(
            organisation, self._capacity_parts
        )
        if parts < _REQUESTS_PER_RETRY:
            return False
        self._parts_by_organisation[organisation] = parts - _REQUESTS_PER_RETRY
        return True

    def retain(self, organisations: Collection[OrganisationId]) -> None:
        """Drop the buckets of organisations that are not configured."""
        self._parts_by_organisation = {
            organisation: parts
            for organisation, parts in self._parts_by_organisation.items()
            if organisation in organisations
        }


class Backoff:
    """Exponential backoff with full jitter.

    :param rng: random generator for the jitter.
    :param base_seconds: bound of the first delay.
    :param limit_seconds: bound of all delays.
    """

    def __init__(
        self,
        rng: random.Random,
        base_seconds: float = 0.05,
        limit_seconds: float = 2.0,
    ) -> None:
        """Create a backoff with the given bounds."""
        self._rng = rng
        self._base_seconds = base_seconds
        self._limit_seconds = limit_seconds

    def delay_seconds(self, attempts_count: int) -> float:
        """Return a random delay before the next attempt.

        :param attempts_count: failed attempts so far, at least 1.
        :returns: seconds between 0 and the bound, which doubles with each
            attempt up to the limit.
        """
        exponent = min(max(attempts_count - 1, 0), _MAX_EXPONENT)
        bound = min(self._limit_seconds, self._base_seconds * 2**exponent)
        return self._rng.uniform(0, bound)


class SuspectVerdict(enum.Enum):
    """How a request may run after the crashes of targets it ran on."""

    CLEAR = 'clear'
    ISOLATE = 'isolate'
    REJECT = 'refuse'


@dataclass(slots=True)
class _CrashRecord:
    """Crashes during requests with one fingerprint.

    :param crashed: targets that crashed while the request ran.
    :param observed: targets whose crash this router observed itself.
    :param cleared: targets whose crash was cleared by a completion, each with
        the time until which reports of that crash are ignored.
    :param expires_seconds: time at which the crashes no longer count.
    """

    crashed: set[TargetId] = field(default_factory=set)
    observed: set[TargetId] = field(default_factory=set)
    cleared: dict[TargetId, float] = field(default_factory=dict)
    expires_seconds: float = 0

    @property
    def is_rejected(self) -> bool:
        """Return whether too many targets crashed with the request."""
        return len(self.crashed) >= _REJECTED_AFTER_TARGETS_COUNT

    def expire(self, now_seconds: float) -> bool:
        """Remove expired entries; return whether any are left."""
        if now_seconds >= self.expires_seconds:
            self.crashed.clear()
        self.cleared = {
            target: until_seconds
            for target, until_seconds in self.cleared.items()
            if now_seconds < until_seconds
        }
        return bool(self.crashed or self.cleared)

    def clear(self, until_seconds: float) -> None:
        """Mark all crashes as cleared."""
        self.cleared.update(dict.fromkeys(self.crashed, until_seconds))
        self.crashed.clear()


class CrashSuspects:
    """Requests that ran on a target while it crashed.

    A crash is identified by fingerprint and target, so that reports of it
    can arrive late, repeated or from several routers and count once. Two
    crashes of one target count as one; otherwise a faulty target would get
    harmless requests rejected.

    A request that always crashes its target never completes, so it is
    rejected after two targets, under these conditions:

    - the verdict is checked when the request is dispatched, not only when it
      is queued;
    - peers have acknowledged the reports of ``on_crash``, or are
      unreachable, before the request is retried and before its failure is
      returned to the caller. The caller could otherwise retry at another
      router before that router has the reports;
    - an isolated request runs only on ``isolation_target``, and no other
      isolated request runs there at that time.

    Known limits:

    - Copies of a crashing request that run at the same time before its first
      crash is known can crash one target each. The same holds for copies at
      routers on both sides of a partition. Routers with different views of
      the live targets may each choose another target for the isolated run.
    - A harmless request is rejected when its isolated run coincides with a
      second crashing request that is not yet a suspect, or when copies of it
      ran beside one crashing request on both targets. It can't be
      distinguished from the crashing request then, and limiting the crashed
      targets has priority. The rejection ends when any copy of it completes,
      or after the lifetime.
    - A harmless suspect waits while every live target is one of its crashed
      ones, which affects services with one target.
    - A request that runs longer than the lifetime before it crashes a target
      counts as a new one, and so does one that completes in between.

    :param lifetime_seconds: how long a crash counts and a rejection lasts.
    :param report_delay_seconds: how long reports of a cleared crash are
        ignored. The delay of a report has no specified bound; a minute is
        many periods of the exchange.
    :param capacity_count: number of fingerprints kept.
    """

    def __init__(
        self,
        lifetime_seconds: float = 600.0,
        report_delay_seconds: float = 60.0,
        capacity_count: int = 4096,
    ) -> None:
        """Create an empty record."""
        self._lifetime_seconds = lifetime_seconds
        self._report_delay_seconds = report_delay_seconds
        self._capacity_count = capacity_count
        self._records: dict[Fingerprint, _CrashRecord] = {}

    def __len__(self) -> int:
        """Return the number of fingerprints kept."""
        return len(self._records)

    def on_crash(
        self,
        target: TargetId,
        fingerprints: Iterable[Fingerprint],
        now_seconds: float,
    ) -> list[CrashReport]:
        """Record a crash that this router observed.

        :param target: the target that closed its connections.
        :param fingerprints: requests of which bytes had been sent to it.
        :param now_seconds: current time.
        :returns: reports to send to all other routers.
        """
        reports = []
        for fingerprint in dict.fromkeys(fingerprints):
            record = self._open_record(fingerprint, now_seconds)
            # An observed crash is a new one, never a late report of a crash
            # that was cleared.
            record.cleared.pop(target, None)
            self._add_crash(record, target, now_seconds)
            record.observed.add(target)
            reports.append(CrashReport(fingerprint, target, completed=False))
        return reports

    def on_report(self, report: CrashReport, now_seconds: float) -> None:
        """Apply a report of another router; duplicates have no effect."""
        fingerprint = report.fingerprint
        record = self._open_record(fingerprint, now_seconds)
        if report.completed:
            # Only the named crash is cleared, so that the order of reports
            # does not matter. The report of that crash may arrive later.
            record.crashed.discard(report.target)
            until_seconds = now_seconds + self._report_delay_seconds
            record.cleared.setdefault(report.target, until_seconds)
        elif report.target not in record.crashed | record.cleared.keys():
            self._add_crash(record, report.target, now_seconds)

    def on_completed(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> list[CrashReport]:
        """Clear the crashes of a request that a target has completed.

        :returns: reports to send to all other routers, one per crash cleared.
        """
        record = self._find_record(fingerprint, now_seconds)
        if record is None:
            return []
        reports = [
            CrashReport(fingerprint, target, completed=True)
            for target in sorted(record.crashed)
        ]
        record.clear(now_seconds + self._report_delay_seconds)
        return reports

    def reports(self, now_seconds: float) -> list[CrashReport]:
        """Return the reports to send to a router that has just started.

        Only crashes that this router observed itself are included. The
        receiver starts a new lifetime for each crash, so passing on received
        reports would prolong a rejection with every restart of a router.
        """
        return [
            CrashReport(fingerprint, target, completed=False)
            for fingerprint, record in self._records.items()
            for target in sorted(record.crashed & record.observed)
            if now_seconds < record.expires_seconds
        ]

    def verdict(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> SuspectVerdict:
        """Return how the request may run now."""
        record = self._find_record(fingerprint, now_seconds)
        if record is None or not record.crashed:
            return SuspectVerdict.CLEAR
        if record.is_rejected:
            return SuspectVerdict.REJECT
        return SuspectVerdict.ISOLATE

    def isolation_target(
        self,
        fingerprint: Fingerprint,
        live_targets: Iterable[TargetId],
        now_seconds: float,
    ) -> TargetId | None:
        """Return the only target on which a suspect may run.

        By rendezvous hashing, all routers with the same crashes and the same
        live targets choose the same target. Copies of a crashing request
        sent to several routers therefore crash one more target in all, not
        one per router.

        :returns: None while all live targets have crashed with this request.
        """
        record = self._find_record(fingerprint, now_seconds)
        crashed = record.crashed if record else frozenset()
        return max(
            (target for target in live_targets if target not in crashed),
            key=lambda target: (
                mmh3.hash64(f'{fingerprint}\0{target}'),
                target,
            ),
            default=None,
        )

    def _add_crash(
        self, record: _CrashRecord, target: TargetId, now_seconds: float
    ) -> None:
        record.crashed.add(target)
        record.expires_seconds = now_seconds + self._lifetime_seconds

    def _find_record(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> _CrashRecord | None:
        record = self._records.get(fingerprint)
        if record is not None and not record.expire(now_seconds):
            self._records.pop(fingerprint)
            return None
        return record

    def _open_record(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> _CrashRecord:
        record = self._find_record(fingerprint, now_seconds)
        if record is None:
            self._make_room(now_seconds)
            record = self._records.setdefault(fingerprint, _CrashRecord())
        return record

    def _make_room(self, now_seconds: float) -> None:
        if len(self._records) < self._capacity_count:
            return
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if record.expire(now_seconds)
        }
        while len(self._records) >= self._capacity_count:
            # Rejected fingerprints are evicted last, because they protect
            # targets; the others only delay requests.
            oldest = min(self._records, key=self._eviction_key)
            self._records.pop(oldest)

    def _eviction_key(self, fingerprint: Fingerprint) -> tuple[int, float]:
        record = self._records[fingerprint]
        return len(record.crashed), record.expires_seconds


class FailureStage(enum.Enum):
    """The stage at which an attempt failed."""

    NOTHING_SENT = 'nothing_sent'
    SENT = 'sent'
    RESPONSE_BEGUN = 'response_begun'


class RetryAction(enum.Enum):
    """How to continue with a request whose attempt failed."""

    RETRY = 'retry'
    RETRY_ISOLATED = 'retry_isolated'
    GIVE_UP = 'give_up'


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A request after a failed attempt.

    :param idempotent: whether its service or route is declared idempotent.
    :param relayed: whether response bytes have been sent to the caller.
    :param stage: the stage at which this attempt failed.
    :param attempts_count: attempts so far, this one included.
    :param deadline_seconds: deadline of the request, on the same clock as
        ``now_seconds``.
    :param sent_earlier_count: earlier attempts that sent bytes to a target.
    """

    organisation: OrganisationId
    idempotent: bool
    relayed: bool
    stage: FailureStage
    attempts_count: int
    now_seconds: float
    deadline_seconds: float
    verdict: SuspectVerdict = SuspectVerdict.CLEAR
    sent_earlier_count: int = 0

    @property
    def executed(self) -> Executed:
        """Return whether a target may have executed the request."""
        sent = self.stage is not FailureStage.NOTHING_SENT
        if sent or self.sent_earlier_count or self.relayed:
            return Executed.UNKNOWN
        return Executed.NO


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """The decision after a failed attempt.

    :param executed: whether the request was executed, for the error that the
        caller gets when there is no retry.
    :param delay_seconds: delay before the retry.
    :param error_kind: error for the caller, None when there is a retry.
    """

    action: RetryAction
    executed: Executed
    delay_seconds: float = 0
    error_kind: ErrorKind | None = None


def decide_retry(
    attempt: FailedAttempt,
    budget: RetryBudget,
    backoff: Backoff,
    max_attempts_count: int = _MAX_ATTEMPTS_COUNT,
) -> RetryDecision:
    """Decide whether a request is retried at another target.

    If the attempt sent nothing, the request was not executed. It is retried
    until its deadline, even if it is not idempotent, and without a charge to
    the budget, because no target did any work for it.

    :param attempt: the request and its failed attempt.
    :param budget: charged with one retry if bytes had been sent.
    :param backoff: determines the delay.
    :param max_attempts_count: limit on attempts that sent bytes.
    """
    executed = attempt.executed
    kind = _terminal_error(attempt, max_attempts_count)
    delay = backoff.delay_seconds(attempt.attempts_count)
    if kind is None and attempt.now_seconds + delay >= attempt.deadline_seconds:
        kind = ErrorKind.DEADLINE_EXCEEDED
    # The budget is checked last, so that only actual retries are charged.
    if kind is None and not _spend_budget(attempt, budget):
        kind = ErrorKind.TARGET_FAILED
    if kind is not None:
        return RetryDecision(
            RetryAction.GIVE_UP, executed=executed, error_kind=kind
        )
    isolated = attempt.verdict is SuspectVerdict.ISOLATE
    action = RetryAction.RETRY_ISOLATED if isolated else RetryAction.RETRY
    return RetryDecision(action, executed=executed, delay_seconds=delay)


def _terminal_error(
    attempt: FailedAttempt, max_attempts_count: int
) -> ErrorKind | None:
    if attempt.relayed:
        return ErrorKind.TARGET_FAILED
    if attempt.verdict is SuspectVerdict.REJECT:
        return ErrorKind.REQUEST_CRASHES_TARGETS
    if attempt.stage is FailureStage.NOTHING_SENT:
        return None
    sent_count = attempt.sent_earlier_count + 1
    if not attempt.idempotent or sent_count >= max_attempts_count:
        return ErrorKind.TARGET_FAILED
    return None


def _spend_budget(attempt: FailedAttempt, budget: RetryBudget) -> bool:
    if attempt.stage is FailureStage.NOTHING_SENT:
        return True
    return budget.try_spend(attempt.organisation)
