"""Interface between the gateway and the HTTP headers of a platform."""

from dataclasses import dataclass
from typing import Protocol

from dotterelhatch.core.prompts import Prompt
from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.ids import OrganisationId, RequestId, TargetId
from dotterelhatch.net.httptypes import Headers, RequestHead, Response

__all__ = ('ForwardingMetadata', 'RequestMetadata', 'WireFormat')


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Decoded head of a request.

    :param api_key: None when the request has none.
    :param deadline_seconds: how long the caller waits, None if unknown.
    :param prompt: None unless the request is for a model engine.
    :param last_event_id: the event after which a stream is resumed.
    """

    request_id: RequestId
    host: str
    path: str
    api_key: str | None
    deadline_seconds: float | None
    prompt: Prompt | None
    last_event_id: str | None

    @property
    def usage_tokens(self) -> int:
        """Return the usage of the engines, 0 for a request without prompt."""
        return self.prompt.usage_tokens if self.prompt else 0


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """Values that the gateway adds to a request for a target.

    :param target: another instance at the address must reject the request.
    :param remaining_seconds: the target may stop work after this time.
    :param last_event_id: the event after which a stream is resumed.
    """

    target: TargetId
    remaining_seconds: float
    organisation: OrganisationId | None
    last_event_id: str | None


class WireFormat(Protocol):
    """Translates between HTTP heads and the types of the gateway."""

    request_id_header: str

    def find_api_key(self, received: bytes) -> str | None:
        """Return the API key in the first bytes of a request.

        :returns: None if they have none, or do not contain the whole head.
        """

    def decode_request(self, head: RequestHead) -> RequestMetadata:
        """Decode the head of a request.

        :raises DotterelhatchError: BAD_REQUEST if it is malformed.
        """

    def encode_request(
        self,
        head: RequestHead,
        metadata: RequestMetadata,
        forwarding: ForwardingMetadata,
    ) -> RequestHead:
        """Return the head to send to a target.

        Nothing that the caller sent changes or removes what the router sets.
        """

    def end_to_end_headers(self, headers: Headers) -> Headers:
        """Return the headers of a message that are forwarded."""

    def is_not_executed(self, status: int, headers: Headers) -> bool:
        """Return whether the target reports the request as not executed."""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another instance now has the target's address."""

    def limit_per_second(self, headers: Headers) -> float | None:
        """Return the request rate that a target takes from all routers.

        :returns: None if its response names no limit.
        """

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether a target says that it takes no new requests."""

    def pause_seconds(self, status: int, headers: Headers) -> float | None:
        """Return how long a target wants no requests from this router.

        :returns: None if its response asks for no pause.
        """

    def render_error(
        self, error: DotterelhatchError, request_id: RequestId | None = None
    ) -> Response:
        """Return the HTTP response for an error of this router."""
