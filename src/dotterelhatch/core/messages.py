"""Messages that routers exchange."""

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
    'ConfigAnnouncement',
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
    """The queue of an organisation in which a request waits.

    An isolated request is suspected of crashing targets. It runs on one given
    target only, and not together with another isolated request.
    """

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
    """All waiting requests of an organisation at the sender.

    It replaces the demand that the sender reported before.

    :param isolated_targets: the target of each waiting isolated request.
    :param estimate_units: mean estimated cost of the waiting requests.
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
    """A permit to run one request of an organisation on a target.

    The coordinator of the target issues it to an entry router.
    """

    grant_id: GrantId
    service: ServiceId
    organisation: OrganisationId
    target: TargetId
    request_class: RequestClass
    charged_units: float


@dataclass(frozen=True, slots=True)
class Release:
    """Returns a grant to its coordinator.

    :param units: the cost of the request, 0 when unused.
    :param unused: whether no request was sent to the target.
    :param target_failed: whether the target refused or closed the connection.
    :param pause_milliseconds: how long the target wants no requests, 0 if it
        did not ask for a pause.
    """

    grant_id: GrantId
    target: TargetId
    units: float
    unused: bool
    target_failed: bool
    pause_milliseconds: int = 0


@dataclass(frozen=True, slots=True)
class Charge:
    """Cost so far of a running request."""

    grant_id: GrantId
    target: TargetId
    units: float


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """One grant in a ``HeldGrants`` message.

    :param coordinator: router that issued the grant.
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
    """All grants for one target that are in use at the sender."""

    service: ServiceId
    target: TargetId
    grants: tuple[HeldGrant, ...]


@dataclass(frozen=True, slots=True)
class FreeSlots:
    """Free slots of a service on the targets that the sender coordinates."""

    service: ServiceId
    free_count: int


@dataclass(frozen=True, slots=True)
class UnitTotal:
    """Service that one organisation has received.

    :param units: cost units in the row of a coordinator, units over weight
        in fleet totals.
    """

    organisation: OrganisationId
    units: float


@dataclass(frozen=True, slots=True)
class LedgerReport:
    """Service that the sender has charged since its start.

    :param session: session of the aggregator that the sender has joined, 0
        when it requests to join.
    :param rows: the sender's cumulative units of each organisation whose
        units have changed or that has demand at the sender.
    :param known_totals: the latest fleet totals at the sender, sent when it
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

    :param sequence: sequence number of the receiver's report that the totals
        include, 0 if the receiver must join the session.
    :param virtual_time: smallest total of the organisations with demand; it
        never decreases.
    """

    service: ServiceId
    session: int
    sequence: int
    virtual_time: float
    totals: tuple[UnitTotal, ...]


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Membership data of one router.

    :param peer_address: address to which other routers connect.
    :param caller_address: address to which callers connect.
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
    """Requests the configuration if it is newer than a version."""

    above_version: ConfigVersion


@dataclass(frozen=True, slots=True)
class ConfigAnnouncement:
    """Announces the latest version that the sender has in memory.

    In reply to an offer it acknowledges the version that was offered.
    """

    version: ConfigVersion


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that was running on a target when the target crashed.

    :param completed: whether the request has completed since, which clears
        its record.
    """

    fingerprint: Fingerprint
    target: TargetId
    completed: bool


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target instance that is leaving and receives no new requests."""

    target: TargetId
    instance: str


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Requests a ``StatusReport``, for a status page that the sender shows."""


@dataclass(frozen=True, slots=True)
class SlotsInUse:
    """Slots in use of a target that the sender coordinates."""

    target: TargetId
    in_use_count: int


@dataclass(frozen=True, slots=True)
class RequestCount:
    """Requests of an organisation at the router that received them."""

    service: ServiceId
    organisation: OrganisationId
    queued_count: int
    running_count: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Counts of the sender for the status page of another router.

    :param requests: counts of the organisations with requests at the sender.
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
    | ConfigAnnouncement
    | CrashReport
    | TargetLeaving
    | StatusRequest
    | StatusReport
)


@dataclass(frozen=True, slots=True)
class Frame:
    """The messages and member records of one call or of its reply.

    :param receiver_incarnation: incarnation of the receiver that the messages
        are addressed to, 0 if it is not known.
    :param sequence: orders the frames of one incarnation to one receiver.
    """

    sender: RouterId
    incarnation: Incarnation
    receiver_incarnation: Incarnation
    sequence: int
    config_version: ConfigVersion
    records: tuple[MemberRecord, ...]
    messages: tuple[Message, ...]
