"""The request pipeline: a chain of filters that share a context."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from dotterelhatch.core.retries import RetryAction
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.fleet import FleetConfig, Service
from dotterelhatch.ids import Fingerprint, OrganisationId, RequestId
from dotterelhatch.net.http import RequestHead, Response, ServerExchange

__all__ = ('Filter', 'Pipeline', 'Proceed', 'RequestContext', 'TargetRequest')

Proceed = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """The request that each attempt sends to a target.

    :param hint_units: the ``max_tokens`` of the request, None without it.
    :param prompt_units: cost of the prompt, known before the request is sent.
    """

    service: Service
    head: RequestHead
    body: bytes
    fingerprint: Fingerprint
    is_idempotent: bool
    is_stream: bool
    idempotency_key: str | None
    hint_units: float | None
    prompt_units: float


@dataclass
class RequestContext:
    """State of one request in the pipeline.

    :param response: the complete response, None if it was streamed.
    :param is_detached: whether the request continues after a disconnect.
    :param was_dispatched: whether a target may have executed the request.
    :param sent_count: attempts that sent any byte to a target.
    :param is_replayed: whether the response is a stored one.
    :param granted_seconds: time of the first grant.
    :param first_token_seconds: time when the first token of a stream was
        relayed.
    :param tokens_count: completion tokens of the last attempt.
    :param retry_actions: the decisions after failed attempts.
    """

    exchange: ServerExchange
    request_id: RequestId
    config: FleetConfig
    arrived_seconds: float
    deadline_seconds: float = 0.0
    organisation_id: OrganisationId | None = None
    target_request: TargetRequest | None = None
    response: Response | None = None
    is_detached: bool = False
    was_dispatched: bool = False
    attempts_count: int = 0
    sent_count: int = 0
    is_replayed: bool = False
    granted_seconds: float | None = None
    first_token_seconds: float | None = None
    tokens_count: int = 0
    retry_actions: list[RetryAction] = field(default_factory=list)

    @property
    def organisation(self) -> OrganisationId:
        """Return the organisation of the caller.

        :raises DotterelhatchError: INTERNAL before authentication.
        """
        if self.organisation_id is None:
            raise DotterelhatchError(
                ErrorKind.INTERNAL, 'the request is not authenticated yet'
            )
        return self.organisation_id

    @property
    def outbound(self) -> TargetRequest:
        """Return the request for the target.

        :raises DotterelhatchError: INTERNAL before parsing.
        """
        if self.target_request is None:
            raise DotterelhatchError(
                ErrorKind.INTERNAL, 'the request is not parsed yet'
            )
        return self.target_request


class Filter(Protocol):
    """One step of the request pipeline."""

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Handle the request; ``proceed`` runs the later filters."""


class Pipeline:
    """Runs a request through filters in order."""

    def __init__(self, filters: Sequence[Filter]) -> None:
        """Store the filters."""
        self._filters = tuple(filters)

    async def run(self, context: RequestContext) -> None:
        """Run all filters.

        :raises DotterelhatchError: when a filter rejects the request.
        """
        await self._run_from(0, context)

    async def _run_from(self, index: int, context: RequestContext) -> None:
        if index >= len(self._filters):
            return

        async def proceed() -> None:
            await self._run_from(index + 1, context)

        await self._filters[index].run(context, proceed)
