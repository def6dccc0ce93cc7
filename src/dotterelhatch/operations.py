"""Handler of the operations address."""

from collections.abc import Callable
from importlib import resources
from typing import Final

import pydantic_core

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.metrics import Metrics
from dotterelhatch.net.http import Response, ServerExchange, render_problem
from dotterelhatch.status import RouterControl

__all__ = ('OperationsHandler',)

_MAX_BODY_BYTES: Final = 4096
_JSON: Final = 'application/json'
# The page needs nothing but itself and the figures of its router.
_PAGE_POLICY: Final = (
    "default-src 'none'; script-src 'unsafe-inline'; "
    "style-src 'unsafe-inline'; connect-src 'self'"
)


class OperationsHandler:
    """Answers operators, scrapers and the status page."""

    def __init__(self, source: RouterControl, metrics: Metrics) -> None:
        """Keep the sources and read the status page."""
        self.source = source
        self.metrics = metrics
        page = resources.files('dotterelhatch').joinpath('status.html')
        self.page = page.read_bytes()

    async def __call__(self, exchange: ServerExchange) -> None:
        """Answer one exchange."""
        head = exchange.head
        path = head.path.partition('?')[0]
        try:
            # An unread body would be taken for the next request.
            await exchange.read_body(_MAX_BODY_BYTES)
            response = _find_route(head.method, path)(self)
        except DotterelhatchError as error:
            response = render_problem(error)
            if error.kind is ErrorKind.METHOD_NOT_ALLOWED:
                response = _add_header(response, 'Allow', _allowed(path))
        await exchange.send(response)


_Route = Callable[[OperationsHandler], Response]
_RouteKey = tuple[str, str]
_ROUTES: Final[dict[_RouteKey, _Route]] = {}


class _route:  # noqa: N801
    """Decorator that registers the handler of a method and path."""

    def __init__(self, method: str, path: str) -> None:
        """Keep the key of the registry."""
        self._key = (method, path)

    def __call__(self, handler: _Route) -> _Route:
        """Register the handler."""
        _ROUTES[self._key] = handler
        return handler


def _find_route(method: str, path: str) -> _Route:
    route = _ROUTES.get((method, path))
    if route is not None:
        return route
    allowed = _allowed(path)
    if allowed:
        raise DotterelhatchError(
            ErrorKind.METHOD_NOT_ALLOWED, f'{path} accepts {allowed}'
        )
    raise DotterelhatchError(
        ErrorKind.NOT_FOUND, 'the operations address has no such path'
    )


def _allowed(path: str) -> str:
    return ', '.join(
        method for method, known_path in sorted(_ROUTES) if known_path == path
    )


def _respond(content_type: str, body: bytes) -> Response:
    headers = (('Content-Type', content_type), ('Cache-Control', 'no-store'))
    return Response(200, headers, body)


def _add_header(response: Response, name: str, text: str) -> Response:
    headers = (*response.headers, (name, text))
    return Response(response.status, headers, response.body)


@_route('GET', '/')
def _show_page(operations: OperationsHandler) -> Response:
    response = _respond('text/html; charset=utf-8', operations.page)
    return _add_header(response, 'Content-Security-Policy', _PAGE_POLICY)


@_route('GET', '/status')
def _show_status(operations: OperationsHandler) -> Response:
    operations.source.on_status_viewed()
    status = operations.source.status()
    return _respond(_JSON, status.model_dump_json().encode())


@_route('GET', '/dump')
def _show_dump(operations: OperationsHandler) -> Response:
    return _respond(
        _JSON,
        pydantic_core.to_json(operations.source.dump(), inf_nan_mode='null'),
    )


@_route('GET', '/metrics')
def _show_metrics(operations: OperationsHandler) -> Response:
    return _respond(*operations.metrics.render())


@_route('GET', '/health')
def _show_health(operations: OperationsHandler) -> Response:
    """Answer whether this router takes new requests."""
    status = operations.source.status()
    if status.leaving:
        raise DotterelhatchError(ErrorKind.STOPPING, 'the router is leaving')
    if status.config_version.value is None:
        raise DotterelhatchError(
            ErrorKind.NOT_READY, 'the router has no configuration'
        )
    return _respond(_JSON, b'{"health": "ok"}')


@_route('POST', '/drain')
def _drain(operations: OperationsHandler) -> Response:
    operations.source.drain()
    return _respond(_JSON, b'{"requested": "drain"}')


@_route('POST', '/undrain')
def _undrain(operations: OperationsHandler) -> Response:
    operations.source.undrain()
    return _respond(_JSON, b'{"requested": "undrain"}')
