"""Events that the pure layer takes and actions that it returns."""

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
    'AnswerFrame',
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
    'RefuseRequest',
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
    """A request is given up while it waits or runs.

    :param units: its cost so far.
    """

    request_id: RequestId
    units: float


@dataclass(frozen=True, slots=True)
class RequestProgressed:
    """A running request has cost so many units so far."""

    request_id: RequestId
    units: float


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A running request has ended at its target.

    :param target_failed: the target refused or broke the connection.
    """

    request_id: RequestId
    units: float
    target_failed: bool


@dataclass(frozen=True, slots=True)
class RequestCrashed:
    """A target broke the connection while a request ran on it."""

    target: TargetId
    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """A crash suspect has completed."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame of another router.

    :param called: the router whose call it answers, None for a call of the
        sender; an ``AnswerFrame`` action follows on that.
    """

    frame: Frame
    callee: RouterId | None


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to another router got no answer.

    :param is_refused: its host answered that nothing listens there.
    """

    router: RouterId
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list was read."""

    hosts: Sequence[HostEntry]


@dataclass(frozen=True, slots=True)
class TargetProbed:
    """A target was probed on a fresh connection."""

    target: TargetId
    healthy: bool


@dataclass(frozen=True, slots=True)
class ConfigStored:
    """The table service holds this version."""

    version: ConfigVersion
    document: bytes


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """The document of an ``ApplyConfig`` action was validated and applies."""

    version: ConfigVersion
    config: FleetConfig


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The router is to leave the fleet."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


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
class RefuseRequest:
    """Refuse a request that was not sent to any target."""

    request_id: RequestId
    kind: ErrorKind
    detail: str


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Call another router; the answer or failure comes back as an event."""

    router: RouterId
    address: str
    frame: Frame


@dataclass(frozen=True, slots=True)
class AnswerFrame:
    """Answer the call that is being handled."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Validate a document and, if it is valid, put it in force."""

    version: ConfigVersion
    document: bytes


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Probe a target on a fresh connection."""

    target: TargetId
    address: str


Action = (
    DispatchRequest
    | RefuseRequest
    | SendFrame
    | AnswerFrame
    | ApplyConfig
    | ProbeTarget
)
