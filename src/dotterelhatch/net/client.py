"""HTTP/1.1 client for single requests: h11 on curio sockets."""

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
    encode_headers,
    end_to_end_headers,
    find_header,
)
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('encode_request', 'fetch')

_MAX_FETCHED_BYTES: Final = 128 * 1024 * 1024
# The client frames the request itself and never waits for 100 Continue.
_OWN_HEADERS: Final = frozenset(('content-length', 'expect', 'host'))
_BODILESS: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE'))


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: Headers = (),
    body: bytes = b'',
    timeout_seconds: float = 5.0,
) -> Response:
    """Make one request on a fresh connection.

    :param timeout_seconds: for the whole exchange.
    :raises NotSentError: when nothing reached the peer.
    :raises ResponseLostError: when it was sent without a complete answer.
    """
    head = RequestHead(method, path, headers)
    client = _Fetch(address, head, body)
    try:
        async with curio.timeout_after(timeout_seconds):
            return await client.run(timeout_seconds)
    except (OSError, WaitTimeoutError, h11.ProtocolError) as error:
        raise client.describe(str(error)) from error
    except curio.TaskTimeout:
        raise client.describe(f'no answer in {timeout_seconds:g} s') from None


class _Fetch:
    """The progress of one call of :func:`fetch`."""

    def __init__(self, address: str, head: RequestHead, body: bytes) -> None:
        self._address = address
        self._head = head
        self._body = body
        self._stream: SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    def describe(self, reason: str) -> HttpError:
        """Return the error for what has been sent so far."""
        detail = f'{self._head.method} {self._address}: {reason}'
        if self._stream is None or not self._stream.sent_bytes:
            return NotSentError(detail)
        return ResponseLostError(detail)

    async def run(self, timeout_seconds: float) -> Response:
        """Connect, send and read the response."""
        content = encode_request(
            self._http, self._address, self._head, self._body, keep=False
        )
        stream = await SocketStream.connect(self._address, timeout_seconds)
        self._stream = stream
        try:
            await stream.write(content)
            return await self._read_response(stream)
        finally:
            stream.close()

    async def _read_response(self, stream: SocketStream) -> Response:
        head = await self._next_event(stream)
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event(stream)
        parts: list[bytes] = []
        total_bytes = 0
        event = await self._next_event(stream)
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            total_bytes += len(event.data)
            _check_fetched(total_bytes)
            event = await self._next_event(stream)
        return Response(
            head.status_code, decode_headers(head.headers), b''.join(parts)
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
    keep: bool,
) -> bytes:
    """Return the bytes of a request with its own framing and Host.

    :param http: a client connection that is ready for a request.
    :param keep: whether the connection stays open for further requests.
    :raises h11.LocalProtocolError: when a part of the head is malformed.
    """
    headers = [
        pair
        for pair in end_to_end_headers(head.headers)
        if pair[0].lower() not in _OWN_HEADERS
    ]
    headers.insert(0, ('Host', find_header(head.headers, 'Host') or address))
    if body or head.method not in _BODILESS:
        headers.append(('Content-Length', str(len(body))))
    if not keep:
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


def _check_fetched(total_bytes: int) -> None:
    if total_bytes > _MAX_FETCHED_BYTES:
        raise h11.RemoteProtocolError('the answer is too large')
