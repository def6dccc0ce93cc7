"""Request rates that targets take from all routers together."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.placement import owners_of
from dotterelhatch.core.registry import TargetEntry
from dotterelhatch.core.reported import Age, Count, Rate
from dotterelhatch.ids import RouterId, TargetId

__all__ = ('LimitReport', 'TargetLimits')

# Users of a target get at least this rate each.
_MIN_USER_RATE_PER_SECOND: Final = 1.0
_MIN_BUCKET_TOKENS: Final = 1.5
_BUCKET_SECONDS: Final = 0.5
# Added to the rate of each router, so that one without requests has a part
# when they come.
_BASE_WEIGHT_PER_SECOND: Final = 1.0
# Shares follow the heartbeats, which arrive no more often.
_SHARE_LIFETIME_SECONDS: Final = 0.1
_REPORTED_SECONDS: Final = 10.0
_REPORTED_COUNT: Final = 256


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a router saw in the latest answer of a target.

    :param started_ms: start of the target that answered.
    :param limit_per_second: None if the answer no longer names a limit.
    """

    target: TargetId
    started_ms: Count
    limit_per_second: Rate | None
    age_seconds: Age


@dataclass(slots=True)
class _Record:
    """The limit of a target, and this router's part of it.

    :param seen_seconds: time of the answer that named it, at any router.
    :param own_seconds: time of the last such answer at this router.
    """

    started_ms: int
    limit_per_second: float | None
    seen_seconds: float
    own_seconds: float
    tokens: float = 0
    filled_seconds: float = 0
    share_per_second: float = 0
    share_until_seconds: float = -math.inf

    @property
    def depth(self) -> float:
        """Return the tokens of a full bucket."""
        return max(_MIN_BUCKET_TOKENS, self.share_per_second * _BUCKET_SECONDS)

    def fill(self, now_seconds: float) -> None:
        """Add the tokens since the last call."""
        elapsed_seconds = now_seconds - self.filled_seconds
        added = elapsed_seconds * self.share_per_second
        self.tokens = min(self.depth, self.tokens + added)
        self.filled_seconds = now_seconds


class TargetLimits:
    """Keeps all routers together below the limits of targets.

    :param router: this router.
    :param members: returns the request rates of all routers that may send to
        targets, this one included.
    """

    def __init__(
        self, router: RouterId, members: Callable[[], Mapping[RouterId, float]]
    ) -> None:
        """Start without any limit."""
        self._router = router
        self._members = members
        self._records: dict[TargetId, _Record] = {}

    @property
    def limited_count(self) -> int:
        """Return the number of targets with a limit."""
        return sum(
            record.limit_per_second is not None
            for record in self._records.values()
        )

    def on_answer(
        self,
        entry: TargetEntry,
        limit_per_second: float | None,
        sent_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Apply an answer that this router received.

        :param limit_per_second: None if the answer names no limit.
        :param sent_seconds: when its request was sent.
        :returns: whether the limit of the target has changed.
        """
        known = self._find(entry.id, entry.started_ms)
        if limit_per_second is None and (
            known is None or sent_seconds < known.seen_seconds
        ):
            return False
        changed = self._apply(
            entry.id, entry.started_ms, limit_per_second, now_seconds
        )
        applied = self._find(entry.id, entry.started_ms)
        if applied is not None:
            applied.own_seconds = now_seconds
        return changed

    def on_report(
        self, reports: Iterable[LimitReport], now_seconds: float
    ) -> list[LimitReport]:
        """Apply what a peer has seen; return what has changed."""
        return [
            report
            for report in reports
            if self._apply(
                report.target,
                report.started_ms,
                report.limit_per_second,
                now_seconds - report.age_seconds,
                now_seconds,
            )
        ]

    def report(self, now_seconds: float) -> tuple[LimitReport, ...]:
        """Return what peers should know."""
        newest = sorted(
            (
                (record.own_seconds, target)
                for target, record in self._records.items()
                if now_seconds - record.own_seconds <= _REPORTED_SECONDS
            ),
            reverse=True,
        )
        return tuple(
            LimitReport(
                target,
                self._records[target].started_ms,
                self._records[target].limit_per_second,
                round(now_seconds - own_seconds, 3),
            )
            for own_seconds, target in newest[:_REPORTED_COUNT]
        )

    def wait_seconds(
        self, entry: TargetEntry, fair_share_ratio: float, now_seconds: float
    ) -> float:
        """Return how long no request may be sent to a target.

        :param fair_share_ratio: usage of the organisation relative to its
            share. Above it, the organisation needs a full bucket.
        :returns: 0 if one may be sent now, infinity if this router does not
            use the target.
        """
        record = self._records.get(entry.id)
        if record is None or self._is_unlimited(record, entry):
            return 0
        self._update(entry.id, record, now_seconds)
        if not record.share_per_second:
            return math.inf
        needed = record.depth if fair_share_ratio > 1 else 1
        return max(0, needed - record.tokens) / record.share_per_second

    def on_placed(self, entry: TargetEntry, now_seconds: float) -> None:
        """Take a token for a request that is sent to a target."""
        record = self._records.get(entry.id)
        if record is not None and not self._is_unlimited(record, entry):
            self._update(entry.id, record, now_seconds)
            record.tokens -= 1

    def share_per_second(self, target: TargetId) -> float | None:
        """Return this router's part of a limit, None without a limit."""
        record = self._records.get(target)
        if record is None or record.limit_per_second is None:
            return None
        return record.share_per_second

    def forget(self, target: TargetId) -> None:
        """Forget a target that has left."""
        self._records.pop(target, None)

    def _is_unlimited(self, record: _Record, entry: TargetEntry) -> bool:
        return (
            record.limit_per_second is None
            or record.started_ms != entry.started_ms
        )

    def _find(self, target: TargetId, started_ms: int) -> _Record | None:
        record = self._records.get(target)
        if record is not None and record.started_ms == started_ms:
            return record
        return None

    def _apply(
        self,
        target: TargetId,
        started_ms: int,
        limit_per_second: float | None,
        seen_seconds: float,
        now_seconds: float | None = None,
    ) -> bool:
        """Apply an observation unless a newer one is known.

        :returns: whether the limit of the target has changed.
        """
        known = self._records.get(target)
        if known is None or known.started_ms < started_ms:
            self._records[target] = _Record(
                started_ms,
                limit_per_second,
                seen_seconds,
                -math.inf,
                filled_seconds=now_seconds or seen_seconds,
            )
            return limit_per_second is not None
        is_older = seen_seconds <= known.seen_seconds
        if is_older or known.started_ms > started_ms:
            return False
        changed = known.limit_per_second != limit_per_second
        known.limit_per_second = limit_per_second
        known.seen_seconds = seen_seconds
        if changed:
            known.share_until_seconds = -math.inf
        return changed

    def _update(
        self, target: TargetId, record: _Record, now_seconds: float
    ) -> None:
        record.fill(now_seconds)
        if now_seconds >= record.share_until_seconds:
            limit = record.limit_per_second or 0
            record.share_per_second = self._share(target, limit)
            record.share_until_seconds = now_seconds + _SHARE_LIFETIME_SECONDS

    def _share(self, target: TargetId, limit_per_second: float) -> float:
        """Return the rate that this router may send to a target."""
        rates = self._members()
        users_count = max(1, int(limit_per_second // _MIN_USER_RATE_PER_SECOND))
        users = owners_of(target, rates, users_count)
        if self._router not in users:
            return 0
        weights = {
            user: rates[user] + _BASE_WEIGHT_PER_SECOND for user in users
        }
        return limit_per_second * weights[self._router] / sum(weights.values())
