"""Records of a request: its route and body, and its attempts."""

from dataclasses import dataclass
from typing import Final

import mmh3

from dotterelhatch.core.balancer import Placement
from dotterelhatch.core.crashcauses import request_causes
from dotterelhatch.core.fairshare import UsageSample
from dotterelhatch.core.routes import RouteRule, ServiceSpec
from dotterelhatch.core.targethealth import AttemptOutcome
from dotterelhatch.gateway.wireformat import RequestMetadata
from dotterelhatch.ids import Fingerprint, OrganisationId, TargetId

__all__ = (
    'Attempt',
    'AttemptHistory',
    'RoutedRequest',
    'time_limit_seconds',
    'usage_tokens',
)

# Used when the caller sends no deadline.
_DEFAULT_DEADLINE_SECONDS: Final = 30.0
_MILLISECONDS_PER_SECOND: Final = 1000


def usage_tokens(service: ServiceSpec, metadata: RequestMetadata) -> int:
    """Return the usage by which organisations are compared."""
    return 1 if service.engine is None else metadata.usage_tokens


def time_limit_seconds(route: RouteRule, metadata: RequestMetadata) -> float:
    """Return how long a request may take, from its arrival."""
    deadline_seconds = metadata.deadline_seconds
    if deadline_seconds is None:
        deadline_seconds = _DEFAULT_DEADLINE_SECONDS
    return min(deadline_seconds, route.timeout_seconds)


class RoutedRequest:
    """A request with its route, service and body.

    :param route: that the request matched.
    :param service: chosen among those of the route.
    :param organisation: of the API key, None for public routes.
    :param metadata: decoded head of the request.
    :param body: as received.
    """

    def __init__(
        self,
        route: RouteRule,
        service: ServiceSpec,
        organisation: OrganisationId | None,
        metadata: RequestMetadata,
        body: bytes,
    ) -> None:
        self.route = route
        self.service = service
        self.organisation = organisation
        self.metadata = metadata
        self.body = body
        self.limit_seconds = time_limit_seconds(route, metadata)
        self.tokens = usage_tokens(service, metadata)
        # The fingerprint ignores the request ID, so that a caller's retry
        # under a new ID is recognised.
        key = f'{metadata.api_key}\0{metadata.host}{metadata.path}\0'
        digest = mmh3.hash_bytes(key.encode('latin-1', 'replace') + body)
        self.fingerprint = Fingerprint(digest.hex())
        self.crash_causes = request_causes(
            organisation, metadata.prompt, self.fingerprint
        )


@dataclass(slots=True)
class AttemptHistory:
    """Attempts that were made for a request.

    :param sends_count: targets that it was sent to.
    :param possible_executions_count: targets that may have executed it.
    :param unreachable_count: targets that could not be connected to.
    """

    tried_targets: set[TargetId]
    sends_count: int = 0
    possible_executions_count: int = 0
    unreachable_count: int = 0


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one target.

    :param started_seconds: clock time at which it was sent.
    :param usage: what it counts for the fair shares, None if that is nothing.
    :param has_begun: whether the target has begun to answer.
    :param has_response: whether the head of a response has arrived.
    :param first_event_seconds: clock time of the first event of a stream.
    :param limit_per_second: request rate that the target takes from all
        routers, as named in its response.
    :param has_survived: whether the target has been answering for a while.
    :param outcome: None until it is known, and if the attempt is abandoned.
    """

    placement: Placement
    started_seconds: float
    usage: UsageSample | None = None
    has_begun: bool = False
    has_response: bool = False
    first_event_seconds: float | None = None
    limit_per_second: float | None = None
    has_survived: bool = False
    outcome: AttemptOutcome | None = None

    def answering_ms(self, now_seconds: float) -> int | None:
        """Return the time since the first event, None before it."""
        if self.first_event_seconds is None:
            return None
        return round(
            (now_seconds - self.first_event_seconds) * _MILLISECONDS_PER_SECOND
        )
