"""Tells operators where a request would go now, without sending it."""

import json
import math
from collections.abc import Iterable
from typing import Annotated, Any, Final

from pydantic import Field

from dotterelhatch.core.admission import AdmissionFactors
from dotterelhatch.core.balancer import Placement, PlacementRequest, Rejection
from dotterelhatch.core.explanations import (
    ExplainedTarget,
    PlacementExplainer,
    PlacementState,
)
from dotterelhatch.core.routes import RouteRule, RoutingTable, ServiceSpec
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.gateway.request_records import time_limit_seconds
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import RequestMetadata, WireFormat
from dotterelhatch.ids import OrganisationId
from dotterelhatch.jsonmodel import InvalidDocumentError, JsonModel
from dotterelhatch.net.http import ServerExchange
from dotterelhatch.net.httptypes import RequestHead, Response, render_problem

__all__ = ('EXPLAIN_PATH', 'ExplainHandler')

EXPLAIN_PATH: Final = '/explain'
_MAX_BODY_BYTES: Final = 65_536
_MAX_HEADERS_COUNT: Final = 100
_MILLISECONDS_PER_SECOND: Final = 1000
_OK: Final = 200
_REQUEST_ID: Final = 'explained'

_Text = Annotated[str, Field(max_length=8192)]


class _Question(JsonModel):
    """Head of the request to explain.

    :param organisation: is used in place of that of the API key, so that an
        operator needs no key.
    """

    method: _Text = 'POST'
    path: _Text
    headers: tuple[tuple[_Text, _Text], ...] = Field(
        default=(), max_length=_MAX_HEADERS_COUNT
    )
    organisation: _Text | None = None


class ExplainHandler:
    """HTTP handler that explains the placement of a request.

    It answers at an address that only operators reach, because the answer
    names targets and the usage of an organisation.

    :param state: of this gateway.
    :param wire: translates HTTP heads.
    """

    def __init__(self, state: GatewayState, wire: WireFormat) -> None:
        """Store the components."""
        self._state = state
        self._wire = wire
        self._explainer = PlacementExplainer(
            PlacementState(
                state.registry,
                state.balancer,
                state.load_tracker,
                state.health,
                state.target_limits,
                state.warmup,
            )
        )

    async def __call__(self, exchange: ServerExchange) -> None:
        """Answer ``POST /explain`` with a JSON object."""
        try:
            content = await exchange.read_body(_MAX_BODY_BYTES)
            if exchange.head.method != 'POST':
                raise DotterelhatchError(
                    ErrorKind.METHOD_NOT_ALLOWED, f'{EXPLAIN_PATH} accepts POST'
                )
            explanation = self.explain(content)
        except DotterelhatchError as error:
            await exchange.send(render_problem(error))
            return
        headers = (('Content-Type', 'application/json'),)
        await exchange.send(
            Response(_OK, headers, json.dumps(explanation).encode())
        )

    def explain(self, content: bytes) -> dict[str, Any]:
        """Explain the request that a JSON document describes.

        :raises DotterelhatchError: BAD_REQUEST, NOT_READY, NOT_FOUND or
            UNAUTHORISED, if the request would not reach the balancer.
        """
        try:
            question = _Question.decode(content)
        except InvalidDocumentError as error:
            raise DotterelhatchError(
                ErrorKind.BAD_REQUEST, str(error)
            ) from error
        # The request has no ID yet, because it is not sent.
        request_id = (self._wire.request_id_header, _REQUEST_ID)
        metadata = self._wire.decode_request(
            RequestHead(
                question.method, question.path, (*question.headers, request_id)
            )
        )
        table = self._state.table
        if table is None:
            raise DotterelhatchError(
                ErrorKind.NOT_READY, 'this router has no routing table yet'
            )
        route = table.find_route(metadata.host, metadata.path)
        if route is None:
            raise DotterelhatchError(
                ErrorKind.NOT_FOUND,
                f'no matching route in routing table version {table.version}',
            )
        organisation = _find_organisation(table, route, metadata, question)
        return {
            'router': self._state.settings.router_id,
            'table_version': table.version,
            'is_source_current': self._state.is_source_current,
            'route': route.name,
            'organisation': organisation,
            'services': [
                {
                    'service': share.service,
                    'weight': share.weight,
                    **self._explain_service(
                        table.services.get(share.service),
                        route,
                        metadata,
                        organisation,
                    ),
                }
                for share in route.shares
            ],
        }

    def _explain_service(
        self,
        service: ServiceSpec | None,
        route: RouteRule,
        metadata: RequestMetadata,
        organisation: OrganisationId | None,
    ) -> dict[str, Any]:
        if service is None or self._state.table is None:
            return {'outcome': 'rejected', 'reason': 'undefined service'}
        factors = self._factors(service, route, organisation)
        explanation = self._explainer.explain(
            PlacementRequest(
                route=route,
                service=service,
                prompt=metadata.prompt,
                remaining_seconds=time_limit_seconds(route, metadata),
                shortest_objective_seconds=(
                    self._state.table.shortest_objective_seconds(service.id)
                ),
                factors=factors,
                down_targets=self._state.crash_causes.down_targets(
                    self._state.clock()
                ),
            ),
            self._state.clock(),
        )
        return {
            'used_share': _rounded(factors.fair_share_ratio),
            'rejection_rate': _rounded(factors.rejection_rate),
            'route_admission_ratio': _rounded(factors.route_admission_ratio),
            **_describe_outcome(explanation.outcome),
            'targets': _describe_targets(explanation.targets),
        }

    def _factors(
        self,
        service: ServiceSpec,
        route: RouteRule,
        organisation: OrganisationId | None,
    ) -> AdmissionFactors:
        if organisation is None:
            return AdmissionFactors()
        state = self._state
        now_seconds = state.clock()
        window = state.admission_window(service.id)
        return AdmissionFactors(
            fair_share_ratio=state.fair_share_tracker(service).fair_share_ratio(
                organisation, now_seconds
            ),
            rejection_rate=window.rejection_rate(now_seconds),
            route_admission_ratio=window.route_admission_ratio(
                route.name, now_seconds
            ),
        )


def _find_organisation(
    table: RoutingTable,
    route: RouteRule,
    metadata: RequestMetadata,
    question: _Question,
) -> OrganisationId | None:
    if not table.needs_key(route):
        return None
    organisation = None
    if question.organisation is not None:
        organisation = OrganisationId(question.organisation)
        if organisation not in (table.organisations_by_key or {}).values():
            raise DotterelhatchError(
                ErrorKind.NOT_FOUND, f'no organisation {organisation!r}'
            )
    elif metadata.api_key is not None:
        organisation = table.find_organisation(metadata.api_key)
    if organisation is None:
        raise DotterelhatchError(
            ErrorKind.UNAUTHORISED,
            f'unknown API key in routing table version {table.version}',
        )
    return organisation


def _describe_outcome(outcome: Placement | Rejection) -> dict[str, Any]:
    if isinstance(outcome, Placement):
        return {
            'outcome': 'placed',
            'target': outcome.entry.id,
            'wait_ms': _milliseconds(outcome.wait_seconds),
            'expected_ms': _milliseconds(outcome.expected_seconds),
            'cached_tokens': outcome.cached_tokens,
        }
    return {
        'outcome': 'rejected',
        'reason': outcome.reason,
        'wait_ms': _milliseconds(outcome.wait_seconds),
        'retry_after_seconds': outcome.retry_after_seconds,
    }


def _describe_targets(
    targets: Iterable[ExplainedTarget],
) -> list[dict[str, Any]]:
    return [
        {
            'target': explained.entry.id,
            'failure_domain': explained.entry.failure_domain,
            'slots_count': explained.entry.slots_count,
            'requests_count': explained.load.requests_count,
            'unread_tokens': explained.load.unread_tokens,
            'memory_tokens': explained.load.memory_tokens,
            'exclusions': {
                exclusion.value: _milliseconds(seconds)
                for exclusion, seconds in explained.exclusions.items()
            },
        }
        for explained in targets
    ]


def _milliseconds(seconds: float | None) -> int | None:
    if seconds is None or not math.isfinite(seconds):
        return None
    return round(seconds * _MILLISECONDS_PER_SECOND)


def _rounded(number: float) -> float:
    return round(number, 2)
