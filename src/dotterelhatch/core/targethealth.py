"""Health of targets, derived from the requests that are sent to them."""

import enum
from dataclasses import dataclass
from typing import Final

from dotterelhatch.ids import TargetId

__all__ = ('AttemptOutcome', 'TargetHealth')

# The first backoff after a failed connection covers a restart of the process;
# the maximum keeps a recovered target from staying unused for long.
_INITIAL_BACKOFF_SECONDS: Final = 0.4
_MAX_BACKOFF_SECONDS: Final = 3.0
_MAX_BACKOFF_EXPONENT: Final = 4
# Weight of the newest value in the moving averages: about the last ten requests
# count, enough to tell a failing target from a single failure.
_SMOOTHING_FACTOR: Final = 0.1
_MIN_LATENCY_RATIO: Final = 0.5
_MAX_LATENCY_RATIO: Final = 12.0
# Longest time without a byte from a target that has requests of this router in
# progress. Callers abandon a stream after 2 s without an event.
_IDLE_TIMEOUT_SECONDS: Final = 1.2


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt, as far as it affects the health of the target.

    SHED is a rejection by the target, which has not run the request. FAILED is
    a response with a server error. The connection failed before the request
    was sent for UNREACHABLE, and later for BROKEN.
    """

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    BROKEN = 'broken'
    UNREACHABLE = 'unreachable'


@dataclass(slots=True)
class _Record:
    failures_count: int = 0
    backoff_until_seconds: float = 0
    failure_rate: float = 0
    latency_ratio: float = 1.0
    in_progress_count: int = 0
    received_seconds: float = 0


class TargetHealth:
    """Failures, latency and response timeouts of each target.

    Only real requests are evaluated: a health check can succeed at a target
    that fails requests, and each check takes capacity of the target.
    """

    def __init__(self) -> None:
        """Create records of targets that are all healthy."""
        self._records: dict[TargetId, _Record] = {}

    def on_sent(self, target: TargetId, now_seconds: float) -> None:
        """Record that a request is being sent to a target."""
        record = self._record(target)
        if not record.in_progress_count:
            record.received_seconds = now_seconds
        record.in_progress_count += 1

    def on_received(self, target: TargetId, now_seconds: float) -> None:
        """Record that bytes of a target have arrived."""
        self._record(target).received_seconds = now_seconds

    def on_ended(
        self, target: TargetId, outcome: AttemptOutcome, now_seconds: float
    ) -> None:
        """Record the outcome of an attempt."""
        record = self._record(target)
        record.in_progress_count = max(0, record.in_progress_count - 1)
        is_failure = outcome in {
            AttemptOutcome.FAILED,
            AttemptOutcome.BROKEN,
            AttemptOutcome.UNREACHABLE,
        }
        if outcome is not AttemptOutcome.SHED:
            change = is_failure - record.failure_rate
            record.failure_rate += _SMOOTHING_FACTOR * change
        if outcome is AttemptOutcome.UNREACHABLE:
            self._back_off(record, now_seconds)
        elif not is_failure:
            record.failures_count = 0

    def on_abandoned(self, target: TargetId) -> None:
        """Record that a caller disconnected, which implies no failure."""
        record = self._record(target)
        record.in_progress_count = max(0, record.in_progress_count - 1)

    def on_timeout(self, target: TargetId, now_seconds: float) -> None:
        """Start a backoff after a request without a response in time."""
        self._back_off(self._record(target), now_seconds)

    def on_latency(
        self, target: TargetId, expected_seconds: float, seconds: float
    ) -> None:
        """Update the latency ratio by the time to the first event.

        :param expected_seconds: the time that was predicted.
        """
        if expected_seconds <= 0:
            return
        record = self._record(target)
        ratio = min(
            _MAX_LATENCY_RATIO,
            max(_MIN_LATENCY_RATIO, seconds / expected_seconds),
        )
        record.latency_ratio += _SMOOTHING_FACTOR * (
            ratio - record.latency_ratio
        )

    def is_usable(self, target: TargetId, now_seconds: float) -> bool:
        """Return whether requests should be sent to the target."""
        record = self._records.get(target)
        if record is None:
            return True
        if now_seconds < record.backoff_until_seconds:
            return False
        idle_seconds = now_seconds - record.received_seconds
        return not (
            record.in_progress_count and idle_seconds > _IDLE_TIMEOUT_SECONDS
        )

    def latency_ratio(self, target: TargetId) -> float:
        """Return measured over predicted latency, 1 if not known."""
        record = self._records.get(target)
        return record.latency_ratio if record else 1.0

    def failure_rate(self, target: TargetId) -> float:
        """Return the share of recent requests that failed."""
        record = self._records.get(target)
        return record.failure_rate if record else 0.0

    def reset(self, target: TargetId) -> None:
        """Clear the record of a target that restarted or was removed.

        Requests in progress are still counted, because their ends follow.
        """
        record = self._records.pop(target, None)
        if record is not None and record.in_progress_count:
            self._records[target] = _Record(
                in_progress_count=record.in_progress_count,
                received_seconds=record.received_seconds,
            )

    def _back_off(self, record: _Record, now_seconds: float) -> None:
        exponent = min(record.failures_count, _MAX_BACKOFF_EXPONENT)
        backoff_seconds = min(
            _MAX_BACKOFF_SECONDS, _INITIAL_BACKOFF_SECONDS * 2**exponent
        )
        record.failures_count += 1
        record.backoff_until_seconds = now_seconds + backoff_seconds

    def _record(self, target: TargetId) -> _Record:
        return self._records.setdefault(target, _Record())
