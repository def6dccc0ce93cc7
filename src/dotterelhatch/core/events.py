"""Events that a node handles and actions that it returns."""

from collections.abc import Sequence
from dataclasses import dataclass

from dotterelhatch.backing.interfaces import HostEntry
from dotterelhatch.core.messages import Frame, Grant
from dotterelhatch.core.queues import PendingRequest
from dotterelhatch.errors import ErrorKind
from dotterelhatch.fleet import FleetConfig
from dotterelhatch.ids import (
    ConfigVersion,
    Fingerprint,
    RequestId,
    RouterId,
    TargetId,
)

__all__ = (
    'Action',
    'ApplyConfig',
    'CallFailed',
    'ConfigInForce',
    'ConfigStored',
    'DispatchRequest',
    'Event',
    'FrameReceived',
    'HostsListed',
    'LeaveRequested',
    'ProbeTarget',
    'RejectRequest',
    'ReplyFrame',
    'RequestArrived',
    'RequestCancelled',
    'RequestCompleted',
    'RequestCrashed',
    'RequestFinished',
    'RequestProgressed',
    'SendFrame',
    'TargetProbed',
    'Ticked',
)


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request passed the filters and waits for a slot."""

    request: PendingRequest


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A waiting or running request was cancelled.

    :param units: its cost so far.
    """

    request_id: RequestId
    units: float


@dataclass(frozen=True, slots=True)
class RequestProgressed:
    """The cost so far of a running request has grown."""

    request_id: RequestId
    units: float


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A running request has ended at its target.

    :param target_failed: whether the target refused or closed the connection.
    :param pause_seconds: how long the target wants no requests.
    """

    request_id: RequestId
    units: float
    target_failed: bool
    pause_seconds: float = 0


@dataclass(frozen=True, slots=True)
class RequestCrashed:
    """A target closed the connection of a request that ran on it."""

    target: TargetId
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """A request that was suspected of crashing targets has completed."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame of another router was received.

    :param callee: the router that was called, if the frame is the reply to
        a call of this router. None if the sender made the call; the node then
        replies with a ``ReplyFrame`` action.
    """

    frame: Frame
    callee: RouterId | None


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to another router got no reply.

    :param is_refused: whether its host refused the connection.
    """

    router: RouterId
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list was read."""

    hosts: Sequence[HostEntry]


@dataclass(frozen=True, slots=True)
class TargetProbed:
    """A target was probed on a new connection."""

    target: TargetId
    healthy: bool


@dataclass(frozen=True, slots=True)
class ConfigStored:
    """A configuration version was read from the table service."""

    version: ConfigVersion
    document: bytes


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """The document of an ``ApplyConfig`` action was validated and applied."""

    version: ConfigVersion
    config: FleetConfig


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The router must leave the fleet: it is drained or is stopping."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer has fired, so work may be due."""


Event = (
    RequestArrived
    | RequestCancelled
    | RequestProgressed
    | RequestFinished
    | RequestCrashed
    | RequestCompleted
    | FrameReceived
    | CallFailed
    | HostsListed
    | TargetProbed
    | ConfigStored
    | ConfigInForce
    | LeaveRequested
    | Ticked
)


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """Run a request on a target.

    :param address: ``ip:port`` of the target.
    """

    request_id: RequestId
    address: str
    grant: Grant


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject a request that was not sent to any target."""

    request_id: RequestId
    kind: ErrorKind
    detail: str


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Call another router; the reply or failure is a later event."""

    router: RouterId
    address: str
    frame: Frame


@dataclass(frozen=True, slots=True)
class ReplyFrame:
    """Reply to the call that is being handled."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Validate a configuration document and apply it if it is valid."""

    version: ConfigVersion
    document: bytes


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Probe a target on a new connection."""

    target: TargetId
    address: str


Action = (
    DispatchRequest
    | RejectRequest
    | SendFrame
    | ReplyFrame
    | ApplyConfig
    | ProbeTarget
)
