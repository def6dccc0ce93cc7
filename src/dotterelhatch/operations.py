"""HTTP handler of the operations address."""

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
_JSON_TYPE: Final = 'application/json'
# The page is a single file and only fetches the status of its own router.
_CONTENT_SECURITY_POLICY: Final = (
    "default-src 'none'; script-src 'unsafe-inline'; "
    "style-src 'unsafe-inline'; connect-src 'self'"
)


class OperationsHandler:
    """Serves the status page, status, dump, metrics, health and draining."""

    def __init__(self, router: RouterControl, metrics: Metrics) -> None:
        """Load the status page from the package."""
        self.router = router
        self.metrics = metrics
        page = resources.files('dotterelhatch').joinpath('status.html')
        self.page = page.read_bytes()

    async def __call__(self, exchange: ServerExchange) -> None:
        """Handle one request."""
        head = exchange.head
        path = head.path.partition('?')[0]
        try:
            # An unread body would be parsed as the next request of the
            # connection.
            await exchange.read_body(_MAX_BODY_BYTES)
            response = _find_route(head.method, path)(self)
        except DotterelhatchError as error:
            response = render_problem(error)
            if error.kind is ErrorKind.METHOD_NOT_ALLOWED:
                response = _add_header(
                    response, 'Allow', _allowed_methods(path)
                )
        await exchange.send(response)


_RouteHandler = Callable[[OperationsHandler], Response]
_RouteKey = tuple[str, str]
_ROUTES: Final[dict[_RouteKey, _RouteHandler]] = {}


class _route:  # noqa: N801
    """Decorator that registers the handler of a method and path."""

    def __init__(self, method: str, path: str) -> None:
        """Set the method and path to register."""
        self._key = (method, path)

    def __call__(self, handler: _RouteHandler) -> _RouteHandler:
        """Register the handler."""
        _ROUTES[self._key] = handler
        return handler


def _find_route(method: str, path: str) -> _RouteHandler:
    route = _ROUTES.get((method, path))
    if route is not None:
        return route
    allowed = _allowed_methods(path)
    if allowed:
        raise DotterelhatchError(
            ErrorKind.METHOD_NOT_ALLOWED, f'{path} accepts {allowed}'
        )
    raise DotterelhatchError(
        ErrorKind.NOT_FOUND, 'no such path at the operations address'
    )


def _allowed_methods(path: str) -> str:
    return ', '.join(
        method for method, route_path in sorted(_ROUTES) if route_path == path
    )


def _ok_response(content_type: str, body: bytes) -> Response:
    headers = (('Content-Type', content_type), ('Cache-Control', 'no-store'))
    return Response(200, headers, body)


def _add_header(response: Response, name: str, text: str) -> Response:
    headers = (*response.headers, (name, text))
    return Response(response.status, headers, response.body)


@_route('GET', '/')
def _show_page(operations: OperationsHandler) -> Response:
    response = _ok_response('text/html; charset=utf-8', operations.page)
    return _add_header(
        response, 'Content-Security-Policy', _CONTENT_SECURITY_POLICY
    )


@_route('GET', '/status')
def _show_status(operations: OperationsHandler) -> Response:
    operations.router.on_status_viewed()
    status = operations.router.status()
    return _ok_response(_JSON_TYPE, status.model_dump_json().encode())


@_route('GET', '/dump')
def _show_dump(operations: OperationsHandler) -> Response:
    return _ok_response(
        _JSON_TYPE,
        pydantic_core.to_json(operations.router.dump(), inf_nan_mode='null'),
    )


@_route('GET', '/metrics')
def _show_metrics(operations: OperationsHandler) -> Response:
    return _ok_response(*operations.metrics.render())


@_route('GET', '/health')
def _show_health(operations: OperationsHandler) -> Response:
    """Respond whether this router accepts new requests."""
    status = operations.router.status()
    if status.leaving:
        raise DotterelhatchError(ErrorKind.STOPPING, 'the router is leaving')
    if status.config_version.value is None:
        raise DotterelhatchError(
            ErrorKind.NOT_READY, 'the router has no configuration'
        )
    return _ok_response(_JSON_TYPE, b'{"health": "ok"}')


@_route('POST', '/drain')
def _drain(operations: OperationsHandler) -> Response:
    operations.router.drain()
    return _ok_response(_JSON_TYPE, b'{"requested": "drain"}')


@_route('POST', '/undrain')
def _undrain(operations: OperationsHandler) -> Response:
    operations.router.undrain()
    return _ok_response(_JSON_TYPE, b'{"requested": "undrain"}')
