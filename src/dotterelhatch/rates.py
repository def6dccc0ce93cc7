"""Moving average of a rate."""

from collections import deque
from typing import Final

__all__ = ('MovingRate',)

_WINDOW_SECONDS: Final = 10
_Bucket = tuple[int, int]


class MovingRate:
    """Mean rate per second over the last ten seconds.

    Amounts are summed in buckets of one second. The bucket of the current
    second is excluded, because it is not complete.
    """

    def __init__(self) -> None:
        """Create a rate without amounts."""
        self._buckets: deque[_Bucket] = deque()
        self._first_second: int | None = None

    def add(self, amount: int, now_seconds: float) -> None:
        """Add an amount to the current second."""
        second = int(now_seconds)
        if self._first_second is None:
            self._first_second = second
        if self._buckets and self._buckets[-1][0] == second:
            amount += self._buckets.pop()[1]
        self._buckets.append((second, amount))
        self._expire(second)

    def per_second(self, now_seconds: float) -> float | None:
        """Return the rate, None within the first second of counting."""
        second = int(now_seconds)
        if self._first_second is None or second == self._first_second:
            return None
        self._expire(second)
        covered_seconds = min(_WINDOW_SECONDS, second - self._first_second)
        total = sum(amount for start, amount in self._buckets if start < second)
        return total / covered_seconds

    def _expire(self, second: int) -> None:
        while self._buckets and self._buckets[0][0] < second - _WINDOW_SECONDS:
            self._buckets.popleft()
