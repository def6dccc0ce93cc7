"""Sets the gauges from the state of the node at each scrape."""

from collections import Counter

from dotterelhatch.core.messages import MemberState
from dotterelhatch.core.node import Node
from dotterelhatch.core.service import ServiceRouter
from dotterelhatch.metrics import Metrics

__all__ = ('update_gauges',)


def update_gauges(metrics: Metrics, node: Node, now_seconds: float) -> None:
    """Set the gauges and count the grant events since the last scrape."""
    records = node.membership.records()
    states = Counter(record.state for record in records)
    for state in MemberState:
        metrics.set_member_count(state, states[state])
    for service in node.services.values():
        _update_service(metrics, service, now_seconds)


def _update_service(
    metrics: Metrics, service: ServiceRouter, now_seconds: float
) -> None:
    service_id = service.service.id
    metrics.set_queue_lengths(
        service_id, service.queues.waiting_by_organisation()
    )
    for event, event_count in service.pop_grant_events().items():
        metrics.count_grant(service_id, event, event_count)
    in_use = (
        service.scheduler.in_use_count(target) or 0
        for target in service.scheduler.targets()
    )
    metrics.set_slots(
        service_id, service.scheduler.free_count(now_seconds), sum(in_use)
    )
