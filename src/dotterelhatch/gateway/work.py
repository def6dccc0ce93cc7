"""What is to be done for a request, and what has been tried."""

from dataclasses import dataclass
from typing import Final

import mmh3

from dotterelhatch.core.balancer import Placement
from dotterelhatch.core.routes import RouteRule, ServiceSpec
from dotterelhatch.core.targethealth import AttemptOutcome
from dotterelhatch.gateway.wireformat import RequestFacts
from dotterelhatch.ids import Fingerprint, OrganisationId, TargetId

__all__ = ('Attempt', 'Progress', 'Work')

# Longest time of a request whose caller names no deadline.
_DEFAULT_DEADLINE_SECONDS: Final = 30.0
_OUTPUT_TOKEN_WEIGHT: Final = 2


class Work:
    """What is to be done for a request, fixed once its body has arrived."""

    def __init__(
        self,
        route: RouteRule,
        service: ServiceSpec,
        organisation: OrganisationId | None,
        facts: RequestFacts,
        body: bytes,
    ) -> None:
        self.route = route
        self.service = service
        self.organisation = organisation
        self.facts = facts
        self.body = body
        deadline = facts.deadline_seconds or _DEFAULT_DEADLINE_SECONDS
        self.limit_seconds = min(deadline, route.timeout_seconds)
        # What organisations are compared by: tokens generated take about twice
        # the time of tokens read.
        self.tokens = 0
        if facts.prompt is not None:
            self.tokens = facts.prompt.input_tokens
            self.tokens += _OUTPUT_TOKEN_WEIGHT * facts.prompt.max_output_tokens
        # Equal for the same request sent again under another id.
        key = f'{facts.api_key}\0{facts.host}{facts.path}\0'
        digest = mmh3.hash_bytes(key.encode('latin-1', 'replace') + body)
        self.fingerprint = Fingerprint(digest.hex())


@dataclass(slots=True)
class Progress:
    """What has been tried for a request.

    :param sends_count: targets that received it.
    :param runs_count: targets that may have run it.
    """

    tried: set[TargetId]
    sends_count: int = 0
    runs_count: int = 0
    unreachable_count: int = 0


@dataclass(slots=True)
class Attempt:
    """One request at one target.

    :param is_heard: whether an answer has begun.
    """

    placement: Placement
    started_seconds: float
    is_heard: bool = False
    first_event_seconds: float | None = None
    outcome: AttemptOutcome | None = None
