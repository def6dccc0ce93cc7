"""Collection of status reports from the other routers.

Reports are requested only for a short time after the status of this router
was requested, so a fleet whose status nobody reads has no such traffic.
"""

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
_POLL_AFTER_VIEW_SECONDS: Final = 10.0
# Limits the calls and bytes per period. With more than 16 routers a report may
# be older than one period; with more than 160 some are always missing, because
# they exceed the age limit.
_POLLED_PEERS_COUNT: Final = 16

_Key = tuple[ServiceId, OrganisationId]


@dataclass(frozen=True, slots=True)
class SlotUsage:
    """Slots in use at a target, as its coordinator reported them.

    :param source: the coordinator.
    """

    in_use_count: int
    source: RouterId
    age_seconds: float


@dataclass(frozen=True, slots=True)
class RequestTotals:
    """Requests of an organisation, summed over routers.

    :param included: routers whose counts are in the sums.
    :param missing: routers without a report, or with one that is too old.
    :param oldest_age_seconds: age of the oldest report in the sums.
    """

    queued_count: int
    running_count: int
    included: tuple[RouterId, ...]
    missing: tuple[RouterId, ...]
    oldest_age_seconds: float


class _ReceivedReport:
    """The last report of a router, indexed for look-ups."""

    def __init__(self, report: StatusReport, now_seconds: float) -> None:
        self.received_at_seconds = now_seconds
        self.slots: dict[TargetId, int] = {
            usage.target: usage.in_use_count for usage in report.slots
        }
        self.queued: Counter[_Key] = Counter()
        self.running: Counter[_Key] = Counter()
        for row in report.requests:
            key = (row.service, row.organisation)
            self.queued[key] = row.queued_count
            self.running[key] = row.running_count


class StatusCollector:
    """Chooses the routers to request reports from, and keeps the reports."""

    def __init__(self, own: RouterId) -> None:
        """Create a collector that is not active.

        :param own: this router, which is never polled.
        """
        self._own = own
        self._active_until_seconds = float('-inf')
        # The router that was polled least recently comes first.
        self._poll_order: OrderedDict[RouterId, None] = OrderedDict()
        self._reports: dict[RouterId, _ReceivedReport] = {}

    def on_status_viewed(self, now_seconds: float) -> None:
        """Keep the collection active for the next seconds."""
        self._active_until_seconds = now_seconds + _POLL_AFTER_VIEW_SECONDS

    def is_active(self, now_seconds: float) -> bool:
        """Return whether the status was requested recently."""
        return now_seconds < self._active_until_seconds

    def peers_to_poll(
        self, routers: Iterable[RouterId], now_seconds: float
    ) -> list[RouterId]:
        """Return the routers to request a report from in this period.

        :param routers: all routers that can be reached.
        """
        peers = set(routers) - {self._own}
        for departed in self._poll_order.keys() - peers:
            self._poll_order.pop(departed)
        for departed in self._reports.keys() - peers:
            self._reports.pop(departed)
        if not self.is_active(now_seconds):
            return []
        for peer in sorted(peers - self._poll_order.keys()):
            self._poll_order[peer] = None
            self._poll_order.move_to_end(peer, last=False)
        chosen = list(self._poll_order)[:_POLLED_PEERS_COUNT]
        for polled in chosen:
            self._poll_order.move_to_end(polled)
        return chosen

    def on_report(
        self, sender: RouterId, report: StatusReport, now_seconds: float
    ) -> None:
        """Store the report of a router."""
        self._reports[sender] = _ReceivedReport(report, now_seconds)

    def slots_in_use(
        self, target: TargetId, coordinator: RouterId | None, now_seconds: float
    ) -> SlotUsage | None:
        """Return the usage that the coordinator reported, None if unknown."""
        if coordinator is None:
            return None
        report = self._fresh_report(coordinator, now_seconds)
        count = None if report is None else report.slots.get(target)
        if report is None or count is None:
            return None
        return SlotUsage(
            count, coordinator, now_seconds - report.received_at_seconds
        )

    def request_totals(
        self,
        own: RequestCount,
        routers: Iterable[RouterId],
        now_seconds: float,
    ) -> RequestTotals:
        """Return the requests of an organisation summed over all routers.

        :param own: the counts at this router.
        :param routers: all routers that may serve requests.
        """
        key = (own.service, own.organisation)
        queued, running, oldest = own.queued_count, own.running_count, 0.0
        included, missing = [self._own], []
        for router in sorted(set(routers) - {self._own}):
            report = self._fresh_report(router, now_seconds)
            if report is None:
                missing.append(router)
                continue
            included.append(router)
            queued += report.queued[key]
            running += report.running[key]
            oldest = max(oldest, now_seconds - report.received_at_seconds)
        return RequestTotals(
            queued, running, tuple(included), tuple(missing), oldest
        )

    def _fresh_report(
        self, router: RouterId, now_seconds: float
    ) -> _ReceivedReport | None:
        report = self._reports.get(router)
        if report is None:
            return None
        age_seconds = now_seconds - report.received_at_seconds
        return report if age_seconds <= MAX_REPORT_AGE_SECONDS else None


def build_status_report(services: Iterable[ServiceRouter]) -> StatusReport:
    """Return the slots and requests that are counted at this router.

    Organisations without requests are left out; their counts are 0.
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
