"""HTTP headers of callers and servers on the platform."""

import json
import logging
import math
import re
from typing import Final

from dotterelhatch.core.prompts import Prompt, PromptPart, limit_parts
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.gateway.wireformat import ForwardingMetadata, RequestMetadata
from dotterelhatch.ids import RequestId
from dotterelhatch.net.httptypes import (
    HEAD_ENCODING,
    Headers,
    RequestHead,
    Response,
    canonical_name,
    end_to_end_headers,
    find_header,
)
from dotterelhatch.net.retryafter import retry_after_seconds

__all__ = ('PlatformWireFormat',)

_LOGGER: Final = logging.getLogger(__name__)
_REQUEST_ID: Final = 'Dotterelhatch-Request-Id'
# Milliseconds that the sender of the request still waits.
_DEADLINE: Final = 'Dotterelhatch-Deadline-Ms'
# The organisation; the router sets it according to the API key.
_TENANT: Final = 'Dotterelhatch-Tenant'
_EXPECT_INSTANCE: Final = 'Dotterelhatch-Expect-Instance'
_NOT_EXECUTED: Final = 'Dotterelhatch-Not-Executed'
# "PROMPT_TOKENS,MAX_OUTPUT_TOKENS"
_TOKEN_COUNTS: Final = 'Dotterelhatch-Token-Counts'
# "ID:TOKENS" of each part of the prompt, separated by commas. The last part is
# not shared with other requests.
_PROMPT_PREFIX: Final = 'Dotterelhatch-Prompt-Prefix'
_LAST_EVENT_ID: Final = 'Last-Event-Id'
# Requests a second that the server takes from all routers together.
_SERVER_LIMIT: Final = 'Server-Limit'
# "1" in all responses of a server that takes no new requests.
_SERVER_LEAVING: Final = 'Server-Leaving'
_AUTHORIZATION: Final = 'Authorization'
_BEARER_PREFIX: Final = 'bearer '
_BEARER_PATTERN: Final = re.compile(
    rb'\r\nauthorization:[ \t]*bearer[ \t]+([^\s]+)', re.IGNORECASE
)
_HEAD_END: Final = b'\r\n\r\n'
# Sums of such counts fit into the 64 bits of a number in a heartbeat.
_COUNT_PATTERN: Final = re.compile(r'\s*[0-9]{1,9}\s*')
_MAX_DEADLINE_MS: Final = 1e10
_MAX_LIMIT_PER_SECOND: Final = 1e9
_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
_MILLISECONDS_PER_SECOND: Final = 1000
# Headers of the platform are for the server and the caller, so a Connection
# header cannot make them headers of one connection.
_PROTECTED_PREFIXES: Final = ('dotterelhatch-',)
# Not forwarded: headers that only routers may set, or that are only for the
# router.
_REMOVED_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        _REQUEST_ID,
        _AUTHORIZATION,
        _DEADLINE,
        _TENANT,
        _EXPECT_INSTANCE,
        _LAST_EVENT_ID,
        'Dotterelhatch-Hold',
        'Dotterelhatch-Pin-Ms',
        'Dotterelhatch-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
    )
)


class PlatformWireFormat:
    """Translates the platform's headers to the types of the gateway."""

    request_id_header = _REQUEST_ID

    def find_api_key(self, received: bytes) -> str | None:
        """Return the API key in the first bytes of a request.

        :returns: None if they have none, or do not contain the whole head.
        """
        end = received.find(_HEAD_END)
        if end < 0:
            return None
        found = _BEARER_PATTERN.search(received, 0, end)
        return found[1].decode(HEAD_ENCODING) if found else None

    def decode_request(self, head: RequestHead) -> RequestMetadata:
        """Decode the head of a request.

        :raises DotterelhatchError: BAD_REQUEST if it is malformed.
        """
        request_id = head.header(_REQUEST_ID)
        if not request_id:
            raise _bad_request(f'{_REQUEST_ID} is missing')
        host = (head.header('Host') or '').partition(':')[0]
        return RequestMetadata(
            request_id=RequestId(request_id),
            host=host,
            path=head.path,
            api_key=_api_key(head),
            deadline_seconds=_deadline_seconds(head),
            prompt=_prompt(head),
            last_event_id=head.header(_LAST_EVENT_ID),
        )

    def encode_request(
        self,
        head: RequestHead,
        metadata: RequestMetadata,
        forwarding: ForwardingMetadata,
    ) -> RequestHead:
        """Return the head to send to a server."""
        headers = [
            pair
            for pair in self.end_to_end_headers(head.headers)
            if canonical_name(pair[0]) not in _REMOVED_HEADERS
        ]
        headers.append((_REQUEST_ID, metadata.request_id))
        remaining_ms = forwarding.remaining_seconds * _MILLISECONDS_PER_SECOND
        headers.append((_DEADLINE, str(max(1, math.floor(remaining_ms)))))
        headers.append((_EXPECT_INSTANCE, forwarding.target))
        if forwarding.organisation is not None:
            headers.append((_TENANT, forwarding.organisation))
        if forwarding.last_event_id is not None:
            headers.append((_LAST_EVENT_ID, forwarding.last_event_id))
        return RequestHead(head.method, head.path, tuple(headers))

    def end_to_end_headers(self, headers: Headers) -> Headers:
        """Return the headers of a message that are forwarded."""
        return end_to_end_headers(headers, _PROTECTED_PREFIXES)

    def is_not_executed(self, status: int, headers: Headers) -> bool:
        """Return whether the server reports the request as not executed."""
        return (
            status == _MISDIRECTED
            or find_header(headers, _NOT_EXECUTED) is not None
        )

    def is_misdirected(self, status: int) -> bool:
        """Return whether another server now has the address."""
        return status == _MISDIRECTED

    def limit_per_second(self, headers: Headers) -> float | None:
        """Return the request rate that a server takes from all routers.

        :returns: None if its response names no limit, or no valid one.
        """
        text = find_header(headers, _SERVER_LIMIT)
        if text is None:
            return None
        try:
            limit = float(text)
        except ValueError:
            limit = math.nan
        if 0 <= limit <= _MAX_LIMIT_PER_SECOND:
            return limit
        _LOGGER.warning('a server names the invalid limit %r', text[:32])
        return None

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether a server says that it takes no new requests."""
        return (find_header(headers, _SERVER_LEAVING) or '').strip() == '1'

    def pause_seconds(self, status: int, headers: Headers) -> float | None:
        """Return how long a server wants no requests from this router.

        :returns: None if its response asks for no pause.
        """
        return retry_after_seconds(headers) if status == _UNAVAILABLE else None

    def render_error(
        self, error: DotterelhatchError, request_id: RequestId | None = None
    ) -> Response:
        """Return the HTTP response for an error of this router."""
        document = {'error': error.kind.value, 'detail': error.detail}
        headers = [('Content-Type', 'application/json')]
        if request_id is not None:
            headers.append((_REQUEST_ID, request_id))
        if error.retry_after_seconds is not None:
            headers.append(('Retry-After', f'{error.retry_after_seconds:g}'))
        return Response(
            error.spec.status, tuple(headers), json.dumps(document).encode()
        )


def _api_key(head: RequestHead) -> str | None:
    credentials = head.header(_AUTHORIZATION)
    if credentials is None:
        return None
    if not credentials.lower().startswith(_BEARER_PREFIX):
        return None
    return credentials[len(_BEARER_PREFIX) :].strip()


def _deadline_seconds(head: RequestHead) -> float | None:
    text = head.header(_DEADLINE)
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        raise _bad_request(f'{_DEADLINE}: {text!r} is not a number') from None
    if not math.isfinite(milliseconds) or milliseconds < 0:
        raise _bad_request(f'{_DEADLINE}: {text!r} is not a valid duration')
    return min(milliseconds, _MAX_DEADLINE_MS) / _MILLISECONDS_PER_SECOND


def _prompt(head: RequestHead) -> Prompt | None:
    counts = head.header(_TOKEN_COUNTS)
    if counts is None:
        return None
    try:
        input_tokens, output_tokens = map(_count, counts.split(','))
        parts = _parts(head.header(_PROMPT_PREFIX) or '')
    except ValueError:
        raise _bad_request(
            f'{_TOKEN_COUNTS} or {_PROMPT_PREFIX} is malformed'
        ) from None
    return Prompt(parts, input_tokens, output_tokens)


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        if entry.strip():
            name, _, tokens = entry.strip().partition(':')
            parts.append(PromptPart(name, _count(tokens)))
    return limit_parts(parts)


def _count(text: str) -> int:
    if not _COUNT_PATTERN.fullmatch(text):
        raise ValueError(f'{text[:32]!r} is no number of tokens')
    return int(text)


def _bad_request(detail: str) -> DotterelhatchError:
    return DotterelhatchError(ErrorKind.BAD_REQUEST, detail)
