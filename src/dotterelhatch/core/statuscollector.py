"""Figures of the other routers, exchanged while somebody watches."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.messages import (
    RequestCount,
    SlotsInUse,
    StatusReport,
)
from dotterelhatch.core.service import ServiceRouter
from dotterelhatch.ids import OrganisationId, RouterId, ServiceId, TargetId

__all__ = (
    'MAX_REPORT_AGE_SECONDS',
    'RequestTotals',
    'SlotUsage',
    'StatusCollector',
    'build_status_report',
)

MAX_REPORT_AGE_SECONDS: Final = 10.0
_WATCHED_SECONDS: Final = 10.0
# Bounds the calls and bytes of a watched router. With more than 16 routers a
# report is older than a period, with more than 160 some are always missing.
_ASKED_COUNT: Final = 16

_Key = tuple[ServiceId, OrganisationId]


@dataclass(frozen=True, slots=True)
class SlotUsage:
    """Slots in use of a target as its home reported them."""

    in_use_count: int
    source: RouterId
    age_seconds: float


@dataclass(frozen=True, slots=True)
class RequestTotals:
    """Requests of an organisation, summed over routers.

    :param included: routers that are included.
    :param missing: routers whose report is too old or never came.
    :param oldest_age_seconds: age of the oldest report that is included.
    """

    queued_count: int
    running_count: int
    included: tuple[RouterId, ...]
    missing: tuple[RouterId, ...]
    oldest_age_seconds: float


class _Received:
    """The last report of a router, indexed for the sums."""

    def __init__(self, report: StatusReport, now_seconds: float) -> None:
        self.at_seconds = now_seconds
        self.slots: dict[TargetId, int] = {
            one.target: one.in_use_count for one in report.slots
        }
        self.queued: Counter[_Key] = Counter()
        self.running: Counter[_Key] = Counter()
        for row in report.requests:
            key = (row.service, row.organisation)
            self.queued[key] = row.queued_count
            self.running[key] = row.running_count


class StatusCollector:
    """Whom to ask for figures, and what they said."""

    def __init__(self, own: RouterId) -> None:
        """Start unwatched.

        :param own: this router, whose figures are never asked for.
        """
        self._own = own
        self._watched_until_seconds = float('-inf')
        # The router that was asked least recently comes first.
        self._asked: OrderedDict[RouterId, None] = OrderedDict()
        self._received: dict[RouterId, _Received] = {}

    def on_status_viewed(self, now_seconds: float) -> None:
        """Note that somebody looks at the figures now."""
        self._watched_until_seconds = now_seconds + _WATCHED_SECONDS

    def is_active(self, now_seconds: float) -> bool:
        """Return whether somebody has looked at the figures lately."""
        return now_seconds < self._watched_until_seconds

    def peers_to_poll(
        self, routers: Iterable[RouterId], now_seconds: float
    ) -> list[RouterId]:
        """Return the routers to ask in this period.

        :param routers: all routers that can be reached.
        """
        peers = set(routers) - {self._own}
        for gone in self._asked.keys() - peers:
            self._asked.pop(gone)
        for gone in self._received.keys() - peers:
            self._received.pop(gone)
        if not self.is_active(now_seconds):
            return []
        for peer in sorted(peers - self._asked.keys()):
            self._asked[peer] = None
            self._asked.move_to_end(peer, last=False)
        chosen = list(self._asked)[:_ASKED_COUNT]
        for asked in chosen:
            self._asked.move_to_end(asked)
        return chosen

    def on_report(
        self, sender: RouterId, report: StatusReport, now_seconds: float
    ) -> None:
        """Take over the figures of a router."""
        self._received[sender] = _Received(report, now_seconds)

    def slots_in_use(
        self, target: TargetId, home: RouterId | None, now_seconds: float
    ) -> SlotUsage | None:
        """Return what the home of a target said, None when unknown."""
        if home is None:
            return None
        received = self._fresh(home, now_seconds)
        count = None if received is None else received.slots.get(target)
        if received is None or count is None:
            return None
        return SlotUsage(count, home, now_seconds - received.at_seconds)

    def request_totals(
        self,
        own: RequestCount,
        routers: Iterable[RouterId],
        now_seconds: float,
    ) -> RequestTotals:
        """Return the requests of an organisation over all routers.

        :param own: the counts at this router.
        :param routers: all routers that may serve requests.
        """
        key = (own.service, own.organisation)
        queued, running, oldest = own.queued_count, own.running_count, 0.0
        included, missing = [self._own], []
        for router in sorted(set(routers) - {self._own}):
            received = self._fresh(router, now_seconds)
            if received is None:
                missing.append(router)
                continue
            included.append(router)
            queued += received.queued[key]
            running += received.running[key]
            oldest = max(oldest, now_seconds - received.at_seconds)
        return RequestTotals(
            queued, running, tuple(included), tuple(missing), oldest
        )

    def _fresh(self, router: RouterId, now_seconds: float) -> _Received | None:
        received = self._received.get(router)
        if received is None:
            return None
        age_seconds = now_seconds - received.at_seconds
        return received if age_seconds <= MAX_REPORT_AGE_SECONDS else None


def build_status_report(services: Iterable[ServiceRouter]) -> StatusReport:
    """Return the figures that only this router knows.

    Organisations without requests are left out, their counts are 0.
    """
    slots: list[SlotsInUse] = []
    requests: list[RequestCount] = []
    for service in services:
        for target in sorted(service.scheduler.targets()):
            count = service.scheduler.in_use_count(target) or 0
            slots.append(SlotsInUse(target, count))
        requests.extend(_count_requests(service))
    return StatusReport(tuple(slots), tuple(requests))


def _count_requests(service: ServiceRouter) -> Iterable[RequestCount]:
    queued = Counter(service.queues.waiting_by_organisation())
    running = Counter(service.queues.running_by_organisation())
    for name in sorted(queued.keys() | running.keys()):
        if queued[name] or running[name]:
            yield RequestCount(
                service.service.id, name, queued[name], running[name]
            )
