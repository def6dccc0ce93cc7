"""HTTP endpoints for readiness checks and for the addresses of routers."""

import json
from typing import Final
from urllib.parse import parse_qs, urlsplit

from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.ids import FailureDomain
from dotterelhatch.net.http import Response, ServerExchange

__all__ = ('DirectoryHandler', 'ReadinessHandler')

_JSON: Final = (('Content-Type', 'application/json'),)
_OK: Final = 200
_UNAVAILABLE: Final = 503
_NOT_FOUND: Final = 404


class ReadinessHandler:
    """HTTP handler of ``GET /readiness``."""

    def __init__(self, gateway: Gateway) -> None:
        """Store the gateway."""
        self._gateway = gateway

    async def __call__(self, exchange: ServerExchange) -> None:
        """Respond with 200 while callers may be sent to this router."""
        is_ready = self._gateway.state.is_ready
        status = _OK if is_ready else _UNAVAILABLE
        await exchange.send(Response(status, (), b''))


class DirectoryHandler:
    """HTTP handler of ``GET /resolve``: lists router addresses for a caller."""

    def __init__(self, gateway: Gateway) -> None:
        """Store the gateway."""
        self._gateway = gateway

    async def __call__(self, exchange: ServerExchange) -> None:
        """Respond with the addresses and how long they may be cached."""
        parts = urlsplit(exchange.head.path)
        if parts.path != '/resolve':
            await exchange.send(Response(_NOT_FOUND, (), b''))
            return
        zone = parse_qs(parts.query).get('zone', [''])[0]
        addresses = self._gateway.caller_addresses(FailureDomain(zone))
        ttl_seconds = self._gateway.settings.leaving.address_ttl_seconds
        document = {'addresses': addresses, 'ttl-s': ttl_seconds}
        status = _OK if addresses else _UNAVAILABLE
        body = json.dumps(document).encode()
        await exchange.send(Response(status, _JSON, body))
