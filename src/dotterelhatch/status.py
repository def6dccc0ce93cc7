"""Status of the fleet for operators: values with their source and age."""

from typing import Protocol

from pydantic import JsonValue

from dotterelhatch.fleet import FrozenModel
from dotterelhatch.ids import OrganisationId, RouterId, ServiceId, TargetId

__all__ = (
    'FleetStatus',
    'MemberStatus',
    'OrganisationStatus',
    'ReportedValue',
    'RouterControl',
    'ServiceStatus',
    'TargetStatus',
)


class ReportedValue(FrozenModel):
    """A value with its source and its age.

    :param value: None if it is unknown.
    :param unit: unit of the value, empty if it has none.
    :param source: router or platform service that reported the value.
    :param age_seconds: time since the source reported it, None if it never
        did.
    """

    value: int | float | str | None
    unit: str
    source: str
    age_seconds: float | None


class MemberStatus(FrozenModel):
    """A member of the fleet, as the reporting router sees it."""

    router: RouterId
    state: ReportedValue
    config_version: ReportedValue


class TargetStatus(FrozenModel):
    """Slots of a target.

    :param home: router that coordinates the target, that is, grants its
        slots.
    """

    target: TargetId
    slots: ReportedValue
    in_use: ReportedValue
    home: ReportedValue


class ServiceStatus(FrozenModel):
    """A service with its targets."""

    service: ServiceId
    targets: tuple[TargetStatus, ...]


class OrganisationStatus(FrozenModel):
    """An organisation at one service.

    Fairness applies per service, so an organisation has one entry for each
    service.

    :param service_units: cumulative units of service received.
    :param share: fraction of all units of service, between 0 and 1.
    """

    service: ServiceId
    organisation: OrganisationId
    weight: ReportedValue
    queued: ReportedValue
    running: ReportedValue
    service_units: ReportedValue
    share: ReportedValue


class FleetStatus(FrozenModel):
    """The fleet as one router sees it.

    :param leaving: whether this router is draining or stopping.
    :param control_sent: rate of the bytes sent to other routers.
    :param control_received: rate of the bytes received from other routers.
    :param stale_after_seconds: age above which the status page shows a
        value in grey.
    """

    router_id: RouterId
    leaving: bool
    config_version: ReportedValue
    control_sent: ReportedValue
    control_received: ReportedValue
    members: tuple[MemberStatus, ...]
    services: tuple[ServiceStatus, ...]
    organisations: tuple[OrganisationStatus, ...]
    # Several periods of the exchange between routers, so that a single lost
    # frame makes no value stale.
    stale_after_seconds: float = 5.0


class RouterControl(Protocol):
    """What the operations address needs from a router."""

    def on_status_viewed(self) -> None:
        """Start or keep collecting status reports from the peers."""

    def status(self) -> FleetStatus:
        """Return the status of the fleet as this router knows it."""

    def dump(self) -> dict[str, JsonValue]:
        """Return the internal state of the process."""

    def drain(self) -> None:
        """Make this router leave the fleet."""

    def undrain(self) -> None:
        """Return this router to service.

        :raises DotterelhatchError: if it can only rejoin after a restart.
        """
