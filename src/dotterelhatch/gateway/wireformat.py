"""What the gateway needs to know of the headers of callers and targets."""

from dataclasses import dataclass
from typing import Protocol

from dotterelhatch.core.prompts import Prompt
from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.ids import OrganisationId, RequestId, TargetId
from dotterelhatch.net.httptypes import Headers, RequestHead, Response

__all__ = ('ForwardingMetadata', 'RequestMetadata', 'WireFormat')


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the head of a request says.

    :param api_key: None when the request carries none.
    :param deadline_seconds: how long the caller waits, None if unknown.
    :param prompt: None unless the request goes to a model engine.
    :param last_event_id: the event after which a stream goes on.
    """

    request_id: RequestId
    host: str
    path: str
    api_key: str | None
    deadline_seconds: float | None
    prompt: Prompt | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What the gateway adds to a request that it sends to a target.

    :param target: any other instance refuses the request.
    :param remaining_seconds: the target stops working on it after this time.
    :param last_event_id: where a stream that broke off goes on.
    """

    target: TargetId
    remaining_seconds: float
    organisation: OrganisationId | None
    last_event_id: str | None


class WireFormat(Protocol):
    """Translates between heads on the wire and the gateway's types."""

    request_id_header: str

    def decode_request(self, head: RequestHead) -> RequestMetadata:
        """Return what a request says.

        :raises DotterelhatchError: BAD_REQUEST.
        """

    def encode_request(
        self,
        head: RequestHead,
        metadata: RequestMetadata,
        forwarding: ForwardingMetadata,
    ) -> RequestHead:
        """Return the head to send to a target."""

    def is_not_executed(self, status: int, headers: Headers) -> bool:
        """Return whether a target says that it did not run the request."""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another instance has the address of the target."""

    def render_error(
        self, error: DotterelhatchError, request_id: RequestId | None = None
    ) -> Response:
        """Return the response for an error of this router."""
