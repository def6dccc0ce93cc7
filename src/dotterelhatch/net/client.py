"""HTTP/1.1 client that opens a connection per request (h11 on curio)."""

from typing import Any, Final

import curio
import h11

from dotterelhatch.net.httptypes import (
    CLOSE_HEADER,
    Headers,
    HttpError,
    NotSentError,
    RequestHead,
    Response,
    ResponseLostError,
    decode_headers,
    canonical_name,
    encode_headers,
    find_header,
    without_hop_by_hop,
)
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('MAX_INFORMATIONAL_COUNT', 'encode_request', 'fetch')

# Informational responses before the response itself.
MAX_INFORMATIONAL_COUNT: Final = 8
_MAX_BODY_BYTES: Final = 128 * 1024 * 1024
# The client sets the framing headers and Host, and does not wait for a 100
# Continue response.
_REPLACED_HEADERS: Final = frozenset(('content-length', 'expect', 'host'))
_BODILESS_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE'))


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: Headers = (),
    body: bytes = b'',
    timeout_seconds: float = 5.0,
    max_body_bytes: int = _MAX_BODY_BYTES,
) -> Response:
    """Send one request on a new connection and return the whole response.

    :param timeout_seconds: limit for the request and its response together.
    :param max_body_bytes: a longer response counts as lost.
    :raises NotSentError: when the exchange failed before any byte was sent.
    :raises ResponseLostError: when bytes were sent but no complete response
        arrived.
    """
    head = RequestHead(method, path, headers)
    call = _Fetch(address, head, body, max_body_bytes)
    try:
        async with curio.timeout_after(timeout_seconds):
            return await call.run(timeout_seconds)
    except (OSError, h11.ProtocolError) as error:
        raise call.make_error(str(error)) from error
    except WaitTimeoutError as error:
        raise call.make_error(str(error), is_timeout=True) from error
    except curio.TaskTimeout:
        raise call.make_error(
            f'no response within {timeout_seconds:g} s', is_timeout=True
        ) from None


class _Fetch:
    """State of one call of :func:`fetch`."""

    def __init__(
        self, address: str, head: RequestHead, body: bytes, max_body_bytes: int
    ) -> None:
        self._address = address
        self._head = head
        self._body = body
        self._max_body_bytes = max_body_bytes
        self._stream: SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    def make_error(self, reason: str, *, is_timeout: bool = False) -> HttpError:
        """Return the error that tells whether any byte has been sent."""
        detail = f'{self._head.method} {self._address}: {reason}'
        if self._stream is None or not self._stream.sent_bytes:
            return NotSentError(detail, is_timeout=is_timeout)
        return ResponseLostError(detail, is_timeout=is_timeout)

    async def run(self, timeout_seconds: float) -> Response:
        """Connect, send the request and read the response."""
        content = encode_request(
            self._http, self._address, self._head, self._body, keep_alive=False
        )
        stream = await SocketStream.connect(self._address, timeout_seconds)
        self._stream = stream
        try:
            await stream.write(content)
            return await self._read_response(stream)
        finally:
            stream.close()

    async def _read_response(self, stream: SocketStream) -> Response:
        head = await self._next_head(stream)
        parts: list[bytes] = []
        total_bytes = 0
        event = await self._next_event(stream)
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            total_bytes += len(event.data)
            self._check_body_size(total_bytes)
            event = await self._next_event(stream)
        return Response(
            head.status_code, decode_headers(head.headers), b''.join(parts)
        )

    async def _next_head(self, stream: SocketStream) -> Any:
        for _ in range(MAX_INFORMATIONAL_COUNT + 1):
            event = await self._next_event(stream)
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise h11.RemoteProtocolError('too many informational responses')

    def _check_body_size(self, total_bytes: int) -> None:
        if total_bytes > self._max_body_bytes:
            raise h11.RemoteProtocolError(
                f'the response body exceeds {self._max_body_bytes} bytes'
            )

    async def _next_event(self, stream: SocketStream) -> Any:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await stream.read())
            event = self._http.next_event()
        return event


def encode_request(
    http: h11.Connection,
    address: str,
    head: RequestHead,
    body: bytes,
    *,
    keep_alive: bool,
) -> bytes:
    """Return the bytes of a request.

    Content-Length is set from the body; Host defaults to the address.

    :param head: has the headers to send. Of a request that is forwarded, those
        that ``Connection`` lists have been dropped before.
    :param http: an idle h11 client connection.
    :param keep_alive: whether the connection is kept for further requests.
    :raises h11.LocalProtocolError: when the method, path or a header is
        malformed.
    """
    headers = [
        pair
        for pair in without_hop_by_hop(head.headers)
        if canonical_name(pair[0]) not in _REPLACED_HEADERS
    ]
    headers.insert(0, ('Host', find_header(head.headers, 'Host') or address))
    if body or head.method not in _BODILESS_METHODS:
        headers.append(('Content-Length', str(len(body))))
    if not keep_alive:
        headers.append(CLOSE_HEADER)
    request = h11.Request(
        method=head.method,
        target=head.path,
        headers=encode_headers(tuple(headers)),
    )
    parts = [http.send(request)]
    if body:
        parts.append(http.send(h11.Data(data=body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)
