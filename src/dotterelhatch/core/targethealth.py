"""Health of targets, learned from the requests that they answer."""

import enum
from dataclasses import dataclass
from typing import Final

from dotterelhatch.ids import TargetId

__all__ = ('AttemptOutcome', 'TargetHealth')

# The first pause after a failed connection covers a restart of the process;
# the limit keeps a recovered target from staying unused for long.
_FIRST_PAUSE_SECONDS: Final = 0.4
_PAUSE_LIMIT_SECONDS: Final = 3.0
_FAILURES_BEFORE_LIMIT: Final = 4
# Weight of the newest outcome in the moving averages: about the last ten
# requests count, enough to tell a failing target from a single failure.
_NEWEST_WEIGHT: Final = 0.1
_FASTEST: Final = 0.5
_SLOWEST: Final = 12.0
# Longest time without a byte from a target that has work of this router.
# Callers abandon a stream after 2 s without an event.
_SILENCE_SECONDS: Final = 1.2


class AttemptOutcome(enum.Enum):
    """How an attempt at a target ended, as far as it tells its health."""

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'


@dataclass(slots=True)
class _Record:
    failures_count: int = 0
    paused_until_seconds: float = 0
    failure_rate: float = 0
    latency_ratio: float = 1.0
    in_progress_count: int = 0
    heard_seconds: float = 0


class TargetHealth:
    """Failures, speed and silence of each target.

    Health checks can lie and every check costs a target work, so only real
    requests count.
    """

    def __init__(self) -> None:
        """Start with every target healthy."""
        self._records: dict[TargetId, _Record] = {}

    def on_sent(self, target: TargetId, now_seconds: float) -> None:
        """Note that a request is on its way to a target."""
        record = self._record(target)
        if not record.in_progress_count:
            record.heard_seconds = now_seconds
        record.in_progress_count += 1

    def on_received(self, target: TargetId, now_seconds: float) -> None:
        """Note bytes of a target."""
        self._record(target).heard_seconds = now_seconds

    def on_ended(
        self, target: TargetId, outcome: AttemptOutcome, now_seconds: float
    ) -> None:
        """Take over the outcome of an attempt."""
        record = self._record(target)
        record.in_progress_count = max(0, record.in_progress_count - 1)
        is_failure = outcome in {
            AttemptOutcome.FAILED,
            AttemptOutcome.BROKEN,
            AttemptOutcome.UNREACHABLE,
        }
        if outcome is not AttemptOutcome.SHED:
            change = is_failure - record.failure_rate
            record.failure_rate += _NEWEST_WEIGHT * change
        if outcome is AttemptOutcome.UNREACHABLE:
            self._pause(record, now_seconds)
        elif not is_failure:
            record.failures_count = 0

    def on_abandoned(self, target: TargetId) -> None:
        """Note that a caller left, which tells nothing of the target."""
        record = self._record(target)
        record.in_progress_count = max(0, record.in_progress_count - 1)

    def on_timeout(self, target: TargetId, now_seconds: float) -> None:
        """Note that a request got no answer within its time."""
        self._pause(self._record(target), now_seconds)

    def on_latency(
        self, target: TargetId, expected_seconds: float, seconds: float
    ) -> None:
        """Compare the time to the first event with the expected time."""
        if expected_seconds <= 0:
            return
        record = self._record(target)
        ratio = min(_SLOWEST, max(_FASTEST, seconds / expected_seconds))
        record.latency_ratio += _NEWEST_WEIGHT * (ratio - record.latency_ratio)

    def is_usable(self, target: TargetId, now_seconds: float) -> bool:
        """Return whether requests should be sent to the target."""
        record = self._records.get(target)
        if record is None:
            return True
        if now_seconds < record.paused_until_seconds:
            return False
        silent_seconds = now_seconds - record.heard_seconds
        return not (
            record.in_progress_count and silent_seconds > _SILENCE_SECONDS
        )

    def latency_ratio(self, target: TargetId) -> float:
        """Return measured over expected time, 1 when not known."""
        record = self._records.get(target)
        return record.latency_ratio if record else 1.0

    def failure_rate(self, target: TargetId) -> float:
        """Return the share of recent requests that failed."""
        record = self._records.get(target)
        return record.failure_rate if record else 0.0

    def reset(self, target: TargetId) -> None:
        """Drop what is known of a target that started anew or left."""
        record = self._records.pop(target, None)
        if record is not None and record.in_progress_count:
            self._records[target] = _Record(
                in_progress_count=record.in_progress_count,
                heard_seconds=record.heard_seconds,
            )

    def _pause(self, record: _Record, now_seconds: float) -> None:
        exponent = min(record.failures_count, _FAILURES_BEFORE_LIMIT)
        pause = min(_PAUSE_LIMIT_SECONDS, _FIRST_PAUSE_SECONDS * 2**exponent)
        record.failures_count += 1
        record.paused_until_seconds = now_seconds + pause

    def _record(self, target: TargetId) -> _Record:
        return self._records.setdefault(target, _Record())
