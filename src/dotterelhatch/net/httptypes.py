"""HTTP message types, header functions and errors of server and client."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from dotterelhatch.errors import DotterelhatchError

__all__ = (
    'CLOSE_HEADER',
    'HEAD_ENCODING',
    'DisconnectError',
    'Headers',
    'HttpError',
    'NotSentError',
    'RequestHead',
    'Response',
    'ResponseLostError',
    'canonical_name',
    'decode_headers',
    'encode_headers',
    'end_to_end_headers',
    'find_header',
    'render_problem',
    'without_hop_by_hop',
)

Headers = tuple[tuple[str, str], ...]

CLOSE_HEADER: Final = ('Connection', 'close')
HEAD_ENCODING: Final = 'latin-1'
_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
    )
)


class HttpError(Exception):
    """An HTTP exchange failed.

    :param is_timeout: whether the peer was silent for too long.
    """

    def __init__(self, detail: str, *, is_timeout: bool = False) -> None:
        """Store the detail and whether the peer was silent."""
        super().__init__(detail)
        self.is_timeout = is_timeout


class NotSentError(HttpError):
    """No byte of the request was sent, so the peer cannot have executed it."""


class ResponseLostError(HttpError):
    """Bytes of the request were sent, but no complete response arrived."""


class DisconnectError(HttpError):
    """The caller disconnected, or did not read its response in time."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers.

    :param path: path and query.
    """

    method: str
    path: str
    headers: Headers

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if it is absent.

        The name is matched without regard to case.
        """
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None if it is absent.

        The name is matched without regard to case.
        """
        return find_header(self.headers, name)


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, None if it is absent.

    The name is matched without regard to case.
    """
    wanted = name.lower()
    for known, text in headers:
        if known.lower() == wanted:
            return text
    return None


def decode_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Decode the header pairs of an h11 event."""
    return tuple(
        (name.decode(HEAD_ENCODING), text.decode(HEAD_ENCODING))
        for name, text in pairs
    )


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Encode headers for h11, which accepts text only if it is ASCII.

    Text outside Latin-1 is encoded as UTF-8, so that different names, such as
    those of organisations, stay different.
    """
    return [(_encode(name), _encode(text)) for name, text in headers]


def _encode(text: str) -> bytes:
    try:
        return text.encode(HEAD_ENCODING)
    except UnicodeEncodeError:
        return text.encode('utf-8', 'replace')


def canonical_name(name: str) -> str:
    """Return one spelling of a header name.

    Servers that pass headers on as variables do not tell an underscore from a
    hyphen.
    """
    return name.lower().replace('_', '-')


def end_to_end_headers(
    headers: Headers, protected_prefixes: tuple[str, ...] = ()
) -> Headers:
    """Return the headers of a received message that a proxy forwards.

    Dropped are the hop-by-hop headers and all headers that ``Connection``
    lists. Headers that the proxy sets itself are added after that, so that the
    sender cannot remove them.

    :param protected_prefixes: beginnings, in lower case, of the names that are
        never for one connection only, whatever ``Connection`` lists. ``Host``
        is not either.
    """
    named = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    named.discard('host')
    dropped = {
        name for name in named if not name.startswith(protected_prefixes)
    }
    return tuple(
        pair
        for pair in without_hop_by_hop(headers)
        if pair[0].lower() not in dropped
    )


def without_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those that are for one connection only.

    What ``Connection`` lists is not looked at.
    """
    return tuple(pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP)


def render_problem(
    error: DotterelhatchError, request_id: str | None = None
) -> Response:
    """Return the problem document (RFC 9457) for an error.

    :param request_id: id of the failed request, None if it has none yet.
    """
    document = {
        'status': error.spec.status,
        'code': error.kind.value,
        'detail': error.detail,
        'request_id': request_id,
        'executed': error.executed.value,
    }
    headers = [('Content-Type', 'application/problem+json')]
    if request_id is not None:
        headers.append(('X-Request-Id', request_id))
    if error.retry_after_seconds is not None:
        headers.append(('Retry-After', str(error.retry_after_seconds)))
    body = json.dumps(document).encode()
    return Response(error.spec.status, tuple(headers), body)
