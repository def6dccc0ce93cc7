"""Sums of the counts that the peers of a router report."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final, Generic, Protocol, Self, TypeVar

from dotterelhatch.ids import RouterId

__all__ = ('REPORT_LIFETIME_SECONDS', 'PeerSums', 'Summable')

# Heartbeats are sent several times a second; a peer that sent none for this
# long has stopped or is unreachable.
REPORT_LIFETIME_SECONDS: Final = 2.0


class Summable(Protocol):
    """A set of counts with sum and difference, compared by value."""

    def plus(self, other: Self) -> Self:
        """Return the sum of both."""

    def minus(self, other: Self) -> Self:
        """Return the difference."""


KeyT = TypeVar('KeyT')
SummableT = TypeVar('SummableT', bound=Summable)


@dataclass(frozen=True, slots=True)
class _Report(Generic[KeyT, SummableT]):
    received_seconds: float
    counts: Mapping[KeyT, SummableT]


class PeerSums(Generic[KeyT, SummableT]):
    """The latest report of each peer, and the sums of all reports by key.

    The sums are updated when a report arrives, because they are read for
    every request. Most counts of a report equal those of the one before, so
    that its cost follows what has changed and not the number of peers.

    :param zero: the counts of a key that no peer reports.
    :param on_expired: is called with the counts of each report that expires.
    :ivar lifetime_seconds: how long a report holds without a further one.
    """

    def __init__(
        self,
        zero: SummableT,
        on_expired: Callable[[Mapping[KeyT, SummableT]], None] | None = None,
    ) -> None:
        """Create sums without reports."""
        self.lifetime_seconds = REPORT_LIFETIME_SECONDS
        self._zero = zero
        self._on_expired = on_expired
        self._reports: dict[RouterId, _Report[KeyT, SummableT]] = {}
        self._sums: dict[KeyT, SummableT] = {}

    @property
    def totals(self) -> Mapping[KeyT, SummableT]:
        """Return the sums by key; keys without counts are omitted."""
        return self._sums

    def get(self, key: KeyT) -> SummableT:
        """Return the sum of one key."""
        return self._sums.get(key, self._zero)

    def on_report(
        self,
        router: RouterId,
        counts: Mapping[KeyT, SummableT],
        now_seconds: float,
    ) -> None:
        """Replace the previous report of a peer."""
        known = self._reports.pop(router, None)
        self._replace(known.counts if known else {}, counts)
        self._reports[router] = _Report(now_seconds, counts)
        self.expire(now_seconds)

    def expire(
        self, now_seconds: float, lifetime_seconds: float | None = None
    ) -> None:
        """Drop the reports of peers that sent none within the lifetime.

        :param lifetime_seconds: instead of that of these sums.
        """
        if lifetime_seconds is None:
            lifetime_seconds = self.lifetime_seconds
        oldest_seconds = now_seconds - lifetime_seconds
        while self._reports:
            # A report that is replaced moves to the end.
            router, report = next(iter(self._reports.items()))
            if report.received_seconds >= oldest_seconds:
                return
            self._reports.pop(router)
            self._replace(report.counts, {})
            if self._on_expired is not None:
                self._on_expired(report.counts)

    def _replace(
        self, former: Mapping[KeyT, SummableT], counts: Mapping[KeyT, SummableT]
    ) -> None:
        """Update the sums of the keys whose counts differ."""
        zero, sums = self._zero, self._sums
        for key, count in counts.items():
            known = former.get(key, zero)
            if count != known:
                total = sums.get(key, zero).plus(count)
                self._set(key, total if known is zero else total.minus(known))
        for gone in former.keys() - counts.keys():
            self._set(gone, self.get(gone).minus(former[gone]))

    def _set(self, key: KeyT, total: SummableT) -> None:
        if total == self._zero:
            self._sums.pop(key, None)
        else:
            self._sums[key] = total
