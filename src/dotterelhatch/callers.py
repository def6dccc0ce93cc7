"""Handles requests of callers: the router addresses and the services."""

import json
import logging
import random
import uuid
from collections.abc import Callable
from typing import Final

from dotterelhatch.core.messages import MemberState
from dotterelhatch.core.node import Node
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.filters.pipeline import Pipeline, RequestContext
from dotterelhatch.ids import RequestId
from dotterelhatch.logs import bind_request_id
from dotterelhatch.net.http import (
    DisconnectError,
    Response,
    ServerExchange,
    render_problem,
)
from dotterelhatch.settings import RouterSettings

__all__ = ('CallerHandler',)

_LOGGER: Final = logging.getLogger(__name__)

_ADDRESSES_PATH: Final = '/v1/addresses'
_JSON_HEADERS: Final = (('Content-Type', 'application/json'),)
_OK: Final = 200


class CallerHandler:
    """Handles every request that arrives at the caller address."""

    def __init__(
        self,
        node: Node,
        settings: RouterSettings,
        pipeline: Pipeline,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Store the components that all requests share."""
        self._node = node
        self._settings = settings
        self._pipeline = pipeline
        self._clock = clock
        self._rng = rng

    async def __call__(self, exchange: ServerExchange) -> None:
        """Handle one request; errors become problem documents."""
        request_id = RequestId(uuid.UUID(int=self._rng.getrandbits(128)).hex)
        try:
            with bind_request_id(request_id):
                await self._handle(exchange, request_id)
        except DotterelhatchError as error:
            # The kind is part of the message template, because log records are
            # rate limited per template: many errors of one kind must not
            # suppress those of the others.
            _LOGGER.info(
                f'request failed: {error.kind.value}: %s',
                error.detail,
                extra={'request_id': request_id},
            )
            await _send_error(exchange, error, request_id)

    async def _handle(
        self, exchange: ServerExchange, request_id: RequestId
    ) -> None:
        if exchange.head.path.partition('?')[0] == _ADDRESSES_PATH:
            await exchange.send(self._addresses_response())
            return
        config = self._node.config
        if config is None:
            raise DotterelhatchError(
                ErrorKind.NOT_READY,
                'this router has not loaded a configuration yet',
            )
        context = RequestContext(exchange, request_id, config, self._clock())
        try:
            await self._pipeline.run(context)
        except (DotterelhatchError, DisconnectError):
            raise
        except Exception as error:
            _LOGGER.exception('unexpected error while handling a request')
            raise DotterelhatchError(
                ErrorKind.INTERNAL,
                'internal error while handling the request',
                Executed.UNKNOWN if context.was_dispatched else Executed.NO,
            ) from error

    def _addresses_response(self) -> Response:
        membership = self._node.membership
        live = membership.live()
        records = [
            record
            for record in membership.records()
            if record.router in live and record.state is not MemberState.LEAVING
        ]
        entries = [
            {
                'address': record.caller_address,
                'failure_domain': record.failure_domain,
            }
            for record in records
        ]
        # Callers use the first address, so the order is random to spread them.
        self._rng.shuffle(entries)
        body = {
            'addresses': entries,
            'ttl_seconds': self._settings.stop.address_ttl_seconds,
        }
        return Response(_OK, _JSON_HEADERS, json.dumps(body).encode())


async def _send_error(
    exchange: ServerExchange, error: DotterelhatchError, request_id: RequestId
) -> None:
    problem = render_problem(error, request_id)
    try:
        if exchange.started:
            # The missing final chunk shows that the response is incomplete.
            text = problem.body.decode()
            await exchange.send_chunk(
                f'event: error\ndata: {text}\n\n'.encode()
            )
            exchange.abort()
        else:
            await exchange.send(problem)
    except DisconnectError:
        _LOGGER.debug('caller disconnected before the error response was sent')
