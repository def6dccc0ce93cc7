"""What operators see of the fleet: figures with source and age."""

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
    """One value with where it comes from and how old it is.

    :param value: None when it is unknown.
    :param unit: unit of the value, empty when it has none.
    :param source: router or service of the platform that it comes from.
    :param age_seconds: time since the source reported it, None when it
        never did.
    """

    value: int | float | str | None
    unit: str
    source: str
    age_seconds: float | None


class MemberStatus(FrozenModel):
    """A router as this router sees it."""

    router: RouterId
    state: ReportedValue
    config_version: ReportedValue


class TargetStatus(FrozenModel):
    """Slots of a target and the router that is its home."""

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

    Fairness is per service, so an organisation has one entry for each.

    :param service_units: cumulative service.
    :param share: part of the service that it received, between 0 and 1.
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

    :param leaving: whether this router is being drained or stopped.
    :param stale_after_seconds: age above which a figure is shown in grey.
    """

    router_id: RouterId
    leaving: bool
    config_version: ReportedValue
    control_sent: ReportedValue
    control_received: ReportedValue
    members: tuple[MemberStatus, ...]
    services: tuple[ServiceStatus, ...]
    organisations: tuple[OrganisationStatus, ...]
    # Several periods of the exchange, so that one lost frame shows nothing.
    stale_after_seconds: float = 5.0


class RouterControl(Protocol):
    """Where the operations address takes its data from."""

    def on_status_viewed(self) -> None:
        """Note that somebody watches, so that peers are asked."""

    def status(self) -> FleetStatus:
        """Return the figures that people watch."""

    def dump(self) -> dict[str, JsonValue]:
        """Return the whole state of the process."""

    def drain(self) -> None:
        """Put this router into the leaving state."""

    def undrain(self) -> None:
        """Take this router back into service unless it is stopping."""
