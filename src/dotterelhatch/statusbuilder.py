"""Builds the figures that people watch from the state of a node."""

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

# A source that names more routers does not fit a screen.
_NAMED_COUNT: Final = 3


def build_status(
    node: Node,
    now_seconds: float,
    sent_bytes_per_second: float | None,
    received_bytes_per_second: float | None,
) -> FleetStatus:
    """Return the fleet as a router sees it.

    :param now_seconds: time on the clock that the node is driven by.
    """
    status = _StatusBuilder(node, now_seconds)
    return status.build(sent_bytes_per_second, received_bytes_per_second)


class _StatusBuilder:
    def __init__(self, node: Node, now_seconds: float) -> None:
        self._node = node
        self._now_seconds = now_seconds
        self._own = node.settings.router_id

    def build(
        self,
        sent_bytes_per_second: float | None,
        received_bytes_per_second: float | None,
    ) -> FleetStatus:
        """Return all figures."""
        node = self._node
        services = node.services.values()
        organisations = () if node.config is None else node.config.organisations
        records = node.membership.records()
        return FleetStatus(
            router_id=self._own,
            leaving=node.membership.is_leaving(),
            config_version=self._figure(node.rollout.active_version),
            control_sent=self._figure(sent_bytes_per_second, 'bytes/s'),
            control_received=self._figure(received_bytes_per_second, 'bytes/s'),
            members=tuple(self._member(record) for record in records),
            services=tuple(
                ServiceStatus(
                    service=service.service.id,
                    targets=tuple(
                        self._target(service, target)
                        for target in service.service.targets
                    ),
                )
                for service in services
            ),
            organisations=tuple(
                self._organisation(service, organisation)
                for service in services
                for organisation in organisations
            ),
        )

    def _figure(
        self, value: float | str | None, unit: str = '', age_seconds: float = 0
    ) -> ReportedValue:
        return ReportedValue(
            value=value, unit=unit, source=self._own, age_seconds=age_seconds
        )

    def _unknown(self, unit: str, source: str = '') -> ReportedValue:
        return ReportedValue(
            value=None, unit=unit, source=source, age_seconds=None
        )

    def _aged(
        self,
        value: float | None,
        unit: str,
        source: str,
        age_seconds: float | None,
    ) -> ReportedValue:
        """Return a figure that is unknown when it is too old."""
        if age_seconds is None or age_seconds > MAX_REPORT_AGE_SECONDS:
            value = None
        return ReportedValue(
            value=value, unit=unit, source=source, age_seconds=age_seconds
        )

    def _member(self, record: MemberRecord) -> MemberStatus:
        age = self._contact_age_seconds(record.router)
        return MemberStatus(
            router=record.router,
            state=ReportedValue(
                value=record.state.name.lower(),
                unit='',
                source=self._own,
                age_seconds=age,
            ),
            config_version=self._aged(
                record.config_version, '', record.router, age
            ),
        )

    def _contact_age_seconds(self, router: RouterId) -> float | None:
        if router == self._own:
            return 0
        contact = self._node.membership.contact_seconds(router)
        return None if contact is None else self._now_seconds - contact

    def _target(self, service: ServiceRouter, target: Target) -> TargetStatus:
        home = service.coordinators.get(target.id)
        return TargetStatus(
            target=target.id,
            slots=self._figure(target.slots_count, 'requests'),
            in_use=self._in_use(service, target, home),
            home=self._figure(home),
        )

    def _in_use(
        self, service: ServiceRouter, target: Target, home: RouterId | None
    ) -> ReportedValue:
        own_count = service.scheduler.in_use_count(target.id)
        if own_count is not None:
            return self._figure(own_count, 'requests')
        reported = self._node.status_collector.slots_in_use(
            target.id, home, self._now_seconds
        )
        if reported is None:
            return self._unknown('requests', home or '')
        return ReportedValue(
            value=reported.in_use_count,
            unit='requests',
            source=reported.source,
            age_seconds=reported.age_seconds,
        )

    def _requests(
        self, service: ServiceRouter, name: OrganisationId
    ) -> RequestTotals:
        own = RequestCount(
            service.service.id,
            name,
            service.queues.waiting_by_organisation().get(name, 0),
            service.queues.running_by_organisation().get(name, 0),
        )
        # A router that is dead as seen from here may serve behind a partition.
        routers = {record.router for record in self._node.membership.records()}
        return self._node.status_collector.request_totals(
            own, routers, self._now_seconds
        )

    def _organisation(
        self, service: ServiceRouter, organisation: Organisation
    ) -> OrganisationStatus:
        name = organisation.id
        requests = self._requests(service, name)
        ledger = service.scheduler.ledger
        units = ledger.total(name) * organisation.weight
        fleet_units = sum(
            ledger.total(one.id) * one.weight for one in self._organisations()
        )
        age = ledger.age_seconds(self._now_seconds)
        source = ledger.aggregator or ''
        return OrganisationStatus(
            service=service.service.id,
            organisation=name,
            weight=self._figure(organisation.weight),
            queued=_summed(requests.queued_count, requests),
            running=_summed(requests.running_count, requests),
            service_units=self._aged(units, 'units', source, age),
            share=self._aged(
                units / fleet_units if fleet_units else None, '', source, age
            ),
        )

    def _organisations(self) -> tuple[Organisation, ...]:
        config = self._node.config
        return () if config is None else config.organisations


def _summed(count: int, requests: RequestTotals) -> ReportedValue:
    return ReportedValue(
        value=count,
        unit='requests',
        source=_describe(requests),
        age_seconds=requests.oldest_age_seconds,
    )


def _describe(requests: RequestTotals) -> str:
    """Return the routers of a sum, and those that are missing in it."""
    included_count = len(requests.included)
    missing = requests.missing
    if not missing:
        return f'{included_count} routers'
    named = ', '.join(missing[:_NAMED_COUNT])
    further_count = len(missing) - _NAMED_COUNT
    if further_count > 0:
        named = f'{named} and {further_count} more'
    all_count = included_count + len(missing)
    return f'{included_count} of {all_count} routers, missing {named}'
