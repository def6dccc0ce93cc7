"""Messages between routers."""

import enum
from dataclasses import dataclass

from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    Fingerprint,
    GrantId,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)

__all__ = (
    'Charge',
    'ConfigAcknowledgement',
    'ConfigOffer',
    'ConfigRequest',
    'CrashReport',
    'Demand',
    'Frame',
    'FreeSlots',
    'Grant',
    'HeldGrant',
    'HeldGrants',
    'LedgerReport',
    'LedgerTotals',
    'MemberRecord',
    'MemberState',
    'Message',
    'Release',
    'RequestClass',
    'RequestCount',
    'SlotsInUse',
    'StatusReport',
    'StatusRequest',
    'TargetLeaving',
    'UnitTotal',
)


class RequestClass(enum.Enum):
    """Which queue of an organisation a request waits in."""

    SHORT = 1
    LONG = 2
    ISOLATED = 3


class MemberState(enum.Enum):
    """State of a router in the member list."""

    LIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclass(frozen=True, slots=True)
class Demand:
    """Waiting requests of an organisation at the sender, as a state.

    :param isolated_targets: for each waiting crash suspect the only target on
        which it may run.
    :param estimate_units: mean estimate of the waiting requests.
    :param waited_seconds: how long the oldest of them has waited.
    """

    service: ServiceId
    organisation: OrganisationId
    short_count: int
    long_count: int
    isolated_targets: tuple[TargetId, ...]
    estimate_units: float
    waited_seconds: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to run one request of an organisation on a target."""

    grant_id: GrantId
    service: ServiceId
    organisation: OrganisationId
    target: TargetId
    request_class: RequestClass
    charged_units: float


@dataclass(frozen=True, slots=True)
class Release:
    """End of a grant.

    :param units: the cost of the request, 0 when unused.
    :param unused: whether no request was sent to the target.
    :param target_failed: whether the target broke the connection.
    """

    grant_id: GrantId
    target: TargetId
    units: float
    unused: bool
    target_failed: bool


@dataclass(frozen=True, slots=True)
class Charge:
    """Cost so far of a request that still runs."""

    grant_id: GrantId
    target: TargetId
    units: float


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """One grant in a ``HeldGrants`` message.

    :param home: router that issued the grant.
    :param coordinator_incarnation: incarnation of that router.
    """

    grant_id: GrantId
    coordinator: RouterId
    coordinator_incarnation: Incarnation
    organisation: OrganisationId
    request_class: RequestClass
    units: float


@dataclass(frozen=True, slots=True)
class HeldGrants:
    """All grants that the sender holds for one target."""

    service: ServiceId
    target: TargetId
    grants: tuple[HeldGrant, ...]


@dataclass(frozen=True, slots=True)
class FreeSlots:
    """Free slots of a service at the sender."""

    service: ServiceId
    free_count: int


@dataclass(frozen=True, slots=True)
class UnitTotal:
    """Service of one organisation.

    :param units: units in the row of a home, units over weight in totals.
    """

    organisation: OrganisationId
    units: float


@dataclass(frozen=True, slots=True)
class LedgerReport:
    """Service that the sender has charged, cumulative for its incarnation.

    :param session: session of the aggregator that the sender knows, or 0.
    :param rows: the sender's own cumulative units for each organisation that
        has changed or has demand at the sender.
    :param known_totals: fleet totals as the sender knows them, sent when it
        joins a session.
    """

    service: ServiceId
    session: int
    sequence: int
    rows: tuple[UnitTotal, ...]
    known_totals: tuple[UnitTotal, ...]


@dataclass(frozen=True, slots=True)
class LedgerTotals:
    """Fleet totals of a service.

    :param sequence: sequence of the receiver's report that is included, 0 to
        ask the receiver to join the session.
    :param virtual_time: smallest total of the organisations with demand.
    """

    service: ServiceId
    session: int
    sequence: int
    virtual_time: float
    totals: tuple[UnitTotal, ...]


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is known of one router.

    :param peer_address: where other routers connect.
    :param caller_address: where callers connect.
    """

    router: RouterId
    incarnation: Incarnation
    heartbeat: int
    state: MemberState
    failure_domain: FailureDomain
    peer_address: str
    caller_address: str
    config_version: ConfigVersion


@dataclass(frozen=True, slots=True)
class ConfigOffer:
    """A configuration document with its version."""

    version: ConfigVersion
    document: bytes


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Asks for the configuration above a version."""

    above_version: ConfigVersion


@dataclass(frozen=True, slots=True)
class ConfigAcknowledgement:
    """Confirms that the sender holds a version in memory."""

    version: ConfigVersion


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that ran on a target while the target crashed.

    :param completed: the request has completed since; clears its record.
    """

    fingerprint: Fingerprint
    target: TargetId
    completed: bool


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target instance that receives no new work."""

    target: TargetId
    instance: str


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks for a ``StatusReport``, because somebody watches the sender."""


@dataclass(frozen=True, slots=True)
class SlotsInUse:
    """Slots in use of a target that the sender is home to."""

    target: TargetId
    in_use_count: int


@dataclass(frozen=True, slots=True)
class RequestCount:
    """Requests of an organisation that callers sent to this router."""

    service: ServiceId
    organisation: OrganisationId
    queued_count: int
    running_count: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Figures that only the sender knows.

    :param requests: organisations that have requests at the sender.
    """

    slots: tuple[SlotsInUse, ...]
    requests: tuple[RequestCount, ...]


Message = (
    Demand
    | Grant
    | Release
    | Charge
    | HeldGrants
    | FreeSlots
    | LedgerReport
    | LedgerTotals
    | ConfigOffer
    | ConfigRequest
    | ConfigAcknowledgement
    | CrashReport
    | TargetLeaving
    | StatusRequest
    | StatusReport
)


@dataclass(frozen=True, slots=True)
class Frame:
    """Everything that is due from one router to another.

    :param receiver_incarnation: incarnation that the messages are meant for,
        0 when the sender does not know it.
    """

    sender: RouterId
    incarnation: Incarnation
    receiver_incarnation: Incarnation
    sequence: int
    config_version: ConfigVersion
    records: tuple[MemberRecord, ...]
    messages: tuple[Message, ...]
