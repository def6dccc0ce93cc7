"""What is to be done for a request, and what has been tried."""

from dataclasses import dataclass
from typing import Final

import mmh3

from dotterelhatch.core.balancer import Placement
from dotterelhatch.core.routes import RouteRule, ServiceSpec
from dotterelhatch.core.targethealth import AttemptOutcome
from dotterelhatch.gateway.wireformat import RequestMetadata
from dotterelhatch.ids import Fingerprint, OrganisationId, TargetId

__all__ = ('Attempt', 'AttemptHistory', 'RoutedRequest')

# Longest time of a request whose caller names no deadline.
_DEFAULT_DEADLINE_SECONDS: Final = 30.0
_OUTPUT_TOKEN_WEIGHT: Final = 2


class RoutedRequest:
    """What is to be done for a request, fixed once its body has arrived."""

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
        deadline = metadata.deadline_seconds or _DEFAULT_DEADLINE_SECONDS
        self.limit_seconds = min(deadline, route.timeout_seconds)
        # What organisations are compared by: tokens generated take about twice
        # the time of tokens read.
        self.tokens = 0
        if metadata.prompt is not None:
            self.tokens = metadata.prompt.input_tokens
            self.tokens += (
                _OUTPUT_TOKEN_WEIGHT * metadata.prompt.max_output_tokens
            )
        # Equal for the same request sent again under another id.
        key = f'{metadata.api_key}\0{metadata.host}{metadata.path}\0'
        digest = mmh3.hash_bytes(key.encode('latin-1', 'replace') + body)
        self.fingerprint = Fingerprint(digest.hex())


@dataclass(slots=True)
class AttemptHistory:
    """What has been tried for a request.

    :param sends_count: targets that received it.
    :param possible_runs_count: targets that may have run it.
    """

    tried_targets: set[TargetId]
    sends_count: int = 0
    possible_runs_count: int = 0
    unreachable_count: int = 0


@dataclass(slots=True)
class Attempt:
    """One request at one target.

    :param has_response: whether an answer has begun.
    """

    placement: Placement
    started_seconds: float
    has_response: bool = False
    first_event_seconds: float | None = None
    outcome: AttemptOutcome | None = None
