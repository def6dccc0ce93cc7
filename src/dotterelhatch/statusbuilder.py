"""Builds the status of the fleet from the state of a node."""

from typing import Final

from dotterelhatch.core.messages import MemberRecord, RequestCount
from dotterelhatch.core.node import Node
from dotterelhatch.core.service import ServiceRouter
from dotterelhatch.core.statuscollector import (
    MAX_REPORT_AGE_SECONDS,
    RequestTotals,
)
from dotterelhatch.fleet import Organisation, Target
from dotterelhatch.ids import OrganisationId, RouterId
from dotterelhatch.status import (
    FleetStatus,
    MemberStatus,
    OrganisationStatus,
    ReportedValue,
    ServiceStatus,
    TargetStatus,
)

__all__ = ('build_status',)

# A longer list of routers does not fit in a column of the status page.
_MAX_LISTED_COUNT: Final = 3


def build_status(
    node: Node,
    now_seconds: float,
    sent_bytes_per_second: float | None,
    received_bytes_per_second: float | None,
) -> FleetStatus:
    """Return the status of the fleet as the router of the node sees it.

    :param now_seconds: time on the clock that the node is driven by.
    """
    status = _StatusBuilder(node, now_seconds)
    return status.build(sent_bytes_per_second, received_bytes_per_second)


class _StatusBuilder:
    def __init__(self, node: Node, now_seconds: float) -> None:
        self._node = node
        self._now_seconds = now_seconds
        self._router_id = node.settings.router_id

    def build(
        self,
        sent_bytes_per_second: float | None,
        received_bytes_per_second: float | None,
    ) -> FleetStatus:
        """Return the status."""
        node = self._node
        services = node.services.values()
        organisations = () if node.config is None else node.config.organisations
        records = node.membership.records()
        return FleetStatus(
            router_id=self._router_id,
            leaving=node.membership.is_leaving(),
            config_version=self._local_value(node.rollout.active_version),
            control_sent=self._local_value(sent_bytes_per_second, 'bytes/s'),
            control_received=self._local_value(
                received_bytes_per_second, 'bytes/s'
            ),
            members=tuple(self._member_status(record) for record in records),
            services=tuple(
                ServiceStatus(
                    service=service.service.id,
                    targets=tuple(
                        self._target_status(service, target)
                        for target in service.service.targets
                    ),
                )
                for service in services
            ),
            organisations=tuple(
                self._organisation_status(service, organisation)
                for service in services
                for organisation in organisations
            ),
        )

    def _local_value(
        self, value: float | str | None, unit: str = '', age_seconds: float = 0
    ) -> ReportedValue:
        return ReportedValue(
            value=value,
            unit=unit,
            source=self._router_id,
            age_seconds=age_seconds,
        )

    def _unknown_value(self, unit: str, source: str = '') -> ReportedValue:
        return ReportedValue(
            value=None, unit=unit, source=source, age_seconds=None
        )

    def _value_if_recent(
        self,
        value: float | None,
        unit: str,
        source: str,
        age_seconds: float | None,
    ) -> ReportedValue:
        """Return a value that is unknown if its report is too old."""
        if age_seconds is None or age_seconds > MAX_REPORT_AGE_SECONDS:
            value = None
        return ReportedValue(
            value=value, unit=unit, source=source, age_seconds=age_seconds
        )

    def _member_status(self, record: MemberRecord) -> MemberStatus:
        age = self._contact_age_seconds(record.router)
        return MemberStatus(
            router=record.router,
            state=ReportedValue(
                value=record.state.name.lower(),
                unit='',
                source=self._router_id,
                age_seconds=age,
            ),
            config_version=self._value_if_recent(
                record.config_version, '', record.router, age
            ),
        )

    def _contact_age_seconds(self, router: RouterId) -> float | None:
        if router == self._router_id:
            return 0
        contact = self._node.membership.contact_seconds(router)
        return None if contact is None else self._now_seconds - contact

    def _target_status(
        self, service: ServiceRouter, target: Target
    ) -> TargetStatus:
        coordinator = service.coordinators.get(target.id)
        return TargetStatus(
            target=target.id,
            slots=self._local_value(target.slots_count, 'requests'),
            in_use=self._slots_in_use(service, target, coordinator),
            home=self._local_value(coordinator),
        )

    def _slots_in_use(
        self,
        service: ServiceRouter,
        target: Target,
        coordinator: RouterId | None,
    ) -> ReportedValue:
        local_count = service.scheduler.in_use_count(target.id)
        if local_count is not None:
            return self._local_value(local_count, 'requests')
        reported = self._node.status_collector.slots_in_use(
            target.id, coordinator, self._now_seconds
        )
        if reported is None:
            return self._unknown_value('requests', coordinator or '')
        return ReportedValue(
            value=reported.in_use_count,
            unit='requests',
            source=reported.source,
            age_seconds=reported.age_seconds,
        )

    def _request_totals(
        self, service: ServiceRouter, organisation_id: OrganisationId
    ) -> RequestTotals:
        local_counts = RequestCount(
            service.service.id,
            organisation_id,
            service.queues.waiting_by_organisation().get(organisation_id, 0),
            service.queues.running_by_organisation().get(organisation_id, 0),
        )
        # Dead members are included: a router that is unreachable because of a
        # network partition may still serve requests.
        routers = {record.router for record in self._node.membership.records()}
        return self._node.status_collector.request_totals(
            local_counts, routers, self._now_seconds
        )

    def _organisation_status(
        self, service: ServiceRouter, organisation: Organisation
    ) -> OrganisationStatus:
        organisation_id = organisation.id
        requests = self._request_totals(service, organisation_id)
        ledger = service.scheduler.ledger
        # The ledger divides units of service by the weight.
        units = ledger.total(organisation_id) * organisation.weight
        fleet_units = sum(
            ledger.total(other.id) * other.weight
            for other in self._organisations()
        )
        age = ledger.age_seconds(self._now_seconds)
        source = ledger.aggregator or ''
        return OrganisationStatus(
            service=service.service.id,
            organisation=organisation_id,
            weight=self._local_value(organisation.weight),
            queued=_summed_value(requests.queued_count, requests),
            running=_summed_value(requests.running_count, requests),
            service_units=self._value_if_recent(units, 'units', source, age),
            share=self._value_if_recent(
                units / fleet_units if fleet_units else None, '', source, age
            ),
        )

    def _organisations(self) -> tuple[Organisation, ...]:
        config = self._node.config
        return () if config is None else config.organisations


def _summed_value(count: int, requests: RequestTotals) -> ReportedValue:
    return ReportedValue(
        value=count,
        unit='requests',
        source=_format_sources(requests),
        age_seconds=requests.oldest_age_seconds,
    )


def _format_sources(requests: RequestTotals) -> str:
    """Return how many routers a sum includes, and which are missing."""
    included_count = len(requests.included)
    missing = requests.missing
    if not missing:
        return f'{included_count} routers'
    listed = ', '.join(missing[:_MAX_LISTED_COUNT])
    further_count = len(missing) - _MAX_LISTED_COUNT
    if further_count > 0:
        listed = f'{listed} and {further_count} more'
    all_count = included_count + len(missing)
    return f'{included_count} of {all_count} routers, missing {listed}'
