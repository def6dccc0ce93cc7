"""Retry budget, backoff, crash suspects and the decision to retry."""

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

# Three attempts cover one crashed target and one crash of the isolated retry.
_MAX_ATTEMPTS: Final = 3
_REQUESTS_PER_RETRY: Final = 10
_REJECTED_AFTER_TARGETS_COUNT: Final = 2
# Beyond this exponent the backoff is at its limit for any sensible base.
_MAX_EXPONENT: Final = 32


class RetryBudget:
    """Token bucket per organisation, filled by its requests.

    Tokens are counted in parts of a retry, as integers, because a sum of
    tenths in floating point falls short of a whole token.
    """

    def __init__(self, burst_count: int = 10) -> None:
        """Start every organisation with a full bucket."""
        self._full_parts = burst_count * _REQUESTS_PER_RETRY
        self._parts: dict[OrganisationId, int] = {}

    def on_request(self, organisation: OrganisationId) -> None:
        """Credit one request of the organisation."""
        parts = self._parts.get(organisation)
        if parts is None:
            return
        if parts + 1 >= self._full_parts:
            # A full bucket is the default and needs no entry.
            self._parts.pop(organisation)
        else:
            self._parts[organisation] = parts + 1

    def try_spend(self, organisation: OrganisationId) -> bool:
        """Take one retry from the bucket when there is one."""
        parts = self._parts.get(organisation, self._full_parts)
        if parts < _REQUESTS_PER_RETRY:
            return False
        self._parts[organisation] = parts - _REQUESTS_PER_RETRY
        return True

    def retain(self, organisations: Collection[OrganisationId]) -> None:
        """Drop the buckets of organisations that are not configured."""
        self._parts = {
            organisation: parts
            for organisation, parts in self._parts.items()
            if organisation in organisations
        }


class Backoff:
    """Exponential backoff with full jitter."""

    def __init__(
        self,
        rng: random.Random,
        base_seconds: float = 0.05,
        limit_seconds: float = 2.0,
    ) -> None:
        """Keep the generator and the bounds."""
        self._rng = rng
        self._base_seconds = base_seconds
        self._limit_seconds = limit_seconds

    def delay_seconds(self, attempts_count: int) -> float:
        """Return a random delay.

        :param attempts_count: attempts that have failed, at least 1.
        :returns: seconds between 0 and the bound of that attempt.
        """
        exponent = min(max(attempts_count - 1, 0), _MAX_EXPONENT)
        bound = min(self._limit_seconds, self._base_seconds * 2**exponent)
        return self._rng.uniform(0, bound)


class SuspectVerdict(enum.Enum):
    """How a request may run according to the crashes it was part of."""

    CLEAR = 'clear'
    ISOLATE = 'isolate'
    REJECT = 'refuse'


@dataclass(slots=True)
class _Record:
    """Crashes of one fingerprint.

    :param crashed: targets that crashed while the request ran.
    :param observed: those of which this router saw the crash itself.
    :param cleared: crashes cleared by a completion, each with the time until
        which reports of it are ignored.
    :param expires_seconds: when the crashes are forgotten.
    """

    crashed: set[TargetId] = field(default_factory=set)
    observed: set[TargetId] = field(default_factory=set)
    cleared: dict[TargetId, float] = field(default_factory=dict)
    expires_seconds: float = 0

    @property
    def is_rejected(self) -> bool:
        """Return whether the request ran in too many crashes."""
        return len(self.crashed) >= _REJECTED_AFTER_TARGETS_COUNT

    def expire(self, now_seconds: float) -> bool:
        """Forget what is out of date; return whether anything is left."""
        if now_seconds >= self.expires_seconds:
            self.crashed.clear()
        self.cleared = {
            target: until
            for target, until in self.cleared.items()
            if now_seconds < until
        }
        return bool(self.crashed or self.cleared)

    def clear(self, until_seconds: float) -> None:
        """Move all crashes to the cleared ones."""
        self.cleared.update(dict.fromkeys(self.crashed, until_seconds))
        self.crashed.clear()


class CrashSuspects:
    """Requests that ran on a target while it crashed.

    A crash is identified by fingerprint and target, so that reports of it
    can arrive late, repeated or from several routers and count once. Two
    crashes of one target count as one: a target with a fault of its own
    would otherwise get innocent requests refused.

    A request that always crashes its target never completes, so it is
    refused after two targets, under these conditions:

    - the verdict is asked when the request is dispatched, not only when it
      is queued;
    - peers have acknowledged the reports of ``on_crash``, or are
      unreachable, before the request is retried and before its failure is
      answered to the caller, who could otherwise be faster at another
      router than the reports;
    - an isolated request runs only on ``isolation_target``, and no other
      isolated request runs there at that time.

    What remains possible:

    - Copies of a crashing request that run at the same time before its first
      crash is known each cost a target. So do routers separated by a
      partition, and routers with different views of which targets are live
      may each choose a different target for the isolated run.
    - An innocent request is refused when its isolated run is beside a second
      crashing request that is not yet known as a suspect, or when copies of
      it ran beside one crashing request on both targets. It can't be told
      from the culprit then, and the bound on targets takes precedence. The
      refusal ends when any copy of it completes, or after the lifetime.
    - An innocent suspect waits while every live target is one of its crashed
      ones, which concerns services with one target.
    - A request that runs longer than the lifetime before it crashes a target
      is taken for a new one, and so is one that completes in between.

    :param lifetime_seconds: how long a crash counts and a refusal lasts.
    :param report_delay_seconds: how long reports of a cleared crash are
        ignored; the page of values names no bound on the delay of a report,
        and a minute is many periods of the exchange.
    :param capacity_count: number of fingerprints kept.
    """

    def __init__(
        self,
        lifetime_seconds: float = 600.0,
        report_delay_seconds: float = 60.0,
        capacity_count: int = 4096,
    ) -> None:
        """Start without suspects."""
        self._lifetime_seconds = lifetime_seconds
        self._report_delay_seconds = report_delay_seconds
        self._capacity_count = capacity_count
        self._records: dict[Fingerprint, _Record] = {}

    def __len__(self) -> int:
        """Return the number of records kept."""
        return len(self._records)

    def on_crash(
        self,
        target: TargetId,
        fingerprints: Iterable[Fingerprint],
        now_seconds: float,
    ) -> list[CrashReport]:
        """Record a crash that this router observed.

        :param target: the target that broke the connections.
        :param fingerprints: requests of which bytes had been sent to it.
        :param now_seconds: current time.
        :returns: reports for all other routers.
        """
        reports = []
        for fingerprint in dict.fromkeys(fingerprints):
            record = self._open_record(fingerprint, now_seconds)
            # An observed crash is never a late report of a cleared one.
            record.cleared.pop(target, None)
            self._add(record, target, now_seconds)
            record.observed.add(target)
            reports.append(CrashReport(fingerprint, target, completed=False))
        return reports

    def on_report(self, report: CrashReport, now_seconds: float) -> None:
        """Apply a report of another router; repeats have no effect."""
        fingerprint = report.fingerprint
        record = self._open_record(fingerprint, now_seconds)
        if report.completed:
            # Only the named crash is cleared, so that the order of reports
            # does not matter. Its own report may still be under way.
            record.crashed.discard(report.target)
            until = now_seconds + self._report_delay_seconds
            record.cleared.setdefault(report.target, until)
        elif report.target not in record.crashed | record.cleared.keys():
            self._add(record, report.target, now_seconds)

    def on_completed(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> list[CrashReport]:
        """Clear a request that a target completed.

        :returns: reports for all other routers, one per crash cleared.
        """
        record = self._find(fingerprint, now_seconds)
        if record is None:
            return []
        reports = [
            CrashReport(fingerprint, target, completed=True)
            for target in sorted(record.crashed)
        ]
        record.clear(now_seconds + self._report_delay_seconds)
        return reports

    def reports(self, now_seconds: float) -> list[CrashReport]:
        """Return what a router with nothing remembered must know.

        Only crashes that this router saw itself are passed on. The receiver
        counts the lifetime anew, so that reports of reports would keep a
        refusal alive for as long as routers restart.
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
        record = self._find(fingerprint, now_seconds)
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

        Rendezvous hashing gives every router with the same record and the
        same live targets the same answer. Copies of a crashing request sent
        to several routers therefore cost one further target and not one
        per router.

        :returns: None while all live targets crashed with this request.
        """
        record = self._find(fingerprint, now_seconds)
        crashed = record.crashed if record else frozenset()
        return max(
            (target for target in live_targets if target not in crashed),
            key=lambda target: (
                mmh3.hash64(f'{fingerprint}\0{target}'),
                target,
            ),
            default=None,
        )

    def _add(
        self, record: _Record, target: TargetId, now_seconds: float
    ) -> None:
        record.crashed.add(target)
        record.expires_seconds = now_seconds + self._lifetime_seconds

    def _find(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and not record.expire(now_seconds):
            self._records.pop(fingerprint)
            return None
        return record

    def _open_record(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> _Record:
        record = self._find(fingerprint, now_seconds)
        if record is None:
            self._make_room(now_seconds)
            record = self._records.setdefault(fingerprint, _Record())
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
            # Refusals go last: they protect targets, the others only delay.
            oldest = min(self._records, key=self._eviction_key)
            self._records.pop(oldest)

    def _eviction_key(self, fingerprint: Fingerprint) -> tuple[int, float]:
        record = self._records[fingerprint]
        return len(record.crashed), record.expires_seconds


class FailureStage(enum.Enum):
    """How far an attempt came before it failed."""

    NOTHING_SENT = 'nothing_sent'
    SENT = 'sent'
    RESPONSE_BEGUN = 'response_begun'


class RetryAction(enum.Enum):
    """What to do with a request whose attempt failed."""

    RETRY = 'retry'
    RETRY_ISOLATED = 'retry_isolated'
    GIVE_UP = 'give_up'


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A request after a failed attempt.

    :param idempotent: whether its service or route is declared so.
    :param relayed: whether response bytes have gone to the caller.
    :param stage: how far this attempt came at the target.
    :param attempts_count: attempts so far, this one included.
    :param sent_earlier_count: earlier attempts that sent any byte.
    :param deadline_seconds: deadline of the request, on the same clock as
        ``now_seconds``.
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
        """Return whether a target may have run the request."""
        sent = self.stage is not FailureStage.NOTHING_SENT
        if sent or self.sent_earlier_count or self.relayed:
            return Executed.UNKNOWN
        return Executed.NO


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """The decision after a failed attempt.

    :param delay_seconds: wait before the retry.
    :param error_kind: error for the caller, None when there is a retry.
    :param executed: what to tell the caller when there is no retry.
    """

    action: RetryAction
    executed: Executed
    delay_seconds: float = 0
    error_kind: ErrorKind | None = None


def decide_retry(
    attempt: FailedAttempt,
    budget: RetryBudget,
    backoff: Backoff,
    max_attempts_count: int = _MAX_ATTEMPTS,
) -> RetryDecision:
    """Decide whether a request goes to another target.

    An attempt that sent nothing was not run. It goes to another target
    until the deadline, also when the request is not idempotent, and takes
    nothing from the budget because it cost no target any work.

    :param attempt: the request and its failed attempt.
    :param budget: one retry is taken from it when it limits the decision.
    :param backoff: source of the delay.
    :param max_attempts_count: limit on attempts that sent something.
    """
    executed = attempt.executed
    kind = _obstacle(attempt, max_attempts_count)
    delay = backoff.delay_seconds(attempt.attempts_count)
    if kind is None and attempt.now_seconds + delay >= attempt.deadline_seconds:
        kind = ErrorKind.DEADLINE_EXCEEDED
    # The budget comes last, so that only retries that happen are charged.
    if kind is None and not _spend(attempt, budget):
        kind = ErrorKind.TARGET_FAILED
    if kind is not None:
        return RetryDecision(
            RetryAction.GIVE_UP, executed=executed, error_kind=kind
        )
    isolated = attempt.verdict is SuspectVerdict.ISOLATE
    action = RetryAction.RETRY_ISOLATED if isolated else RetryAction.RETRY
    return RetryDecision(action, executed=executed, delay_seconds=delay)


def _obstacle(
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


def _spend(attempt: FailedAttempt, budget: RetryBudget) -> bool:
    if attempt.stage is FailureStage.NOTHING_SENT:
        return True
    return budget.try_spend(attempt.organisation)
