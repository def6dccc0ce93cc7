"""Parses a caller's request into the request for a target."""

import hashlib
from collections.abc import Sequence
from typing import Final
from urllib.parse import urlsplit

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.filters.pipeline import (
    Proceed,
    RequestContext,
    TargetRequest,
)
from dotterelhatch.fleet import Service, ServiceKind
from dotterelhatch.ids import Fingerprint, ServiceId
from dotterelhatch.net.http import RequestHead, end_to_end_headers
from dotterelhatch.net.httptypes import canonical_name

__all__ = ('Parse',)

_COMPLETION_PATHS: Final = ('/v1/completions', '/v1/chat/completions')
_PLAIN_PREFIX: Final = '/v1/services/'
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
# Headers that concern only the connection to the caller, or that the router
# sets itself.
_DROPPED_HEADERS: Final = frozenset(
    (
        'authorization',
        'content-length',
        'expect',
        'host',
        'request-timeout-seconds',
        'x-request-id',
    )
)
_MAX_KEY_CHARACTERS: Final = 128
# More tokens than any engine can hold, but small enough that costs stay far
# below the range of the numbers in frames.
_MAX_TOKENS_COUNT: Final = 10_000_000
_CHARACTERS_PER_TOKEN: Final = 4
# Cost of a prompt token, where a completion token costs one unit.
_PROMPT_TOKEN_UNITS: Final = 0.25


class _Message(BaseModel):
    model_config = ConfigDict(extra='allow')

    content: str | Sequence[object] | None = None


class _Completion(BaseModel):
    """The fields of a completion request that routing depends on."""

    model_config = ConfigDict(extra='allow')

    model: str
    prompt: str | Sequence[str] = ''
    messages: Sequence[_Message] = ()
    max_tokens: int | None = Field(default=None, ge=1, le=_MAX_TOKENS_COUNT)
    stream: bool = False

    @property
    def prompt_tokens(self) -> float:
        """Return an estimate of the prompt's tokens from its characters."""
        parts = [self.prompt] if isinstance(self.prompt, str) else self.prompt
        length = sum(len(part) for part in parts)
        length += sum(len(str(item.content or '')) for item in self.messages)
        return length / _CHARACTERS_PER_TOKEN


class Parse:
    """Determines the service of a request and validates it."""

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Set the request for the target, or reject the request.

        :raises DotterelhatchError: when the request is invalid.
        """
        path = urlsplit(context.exchange.head.path).path
        if path in _COMPLETION_PATHS:
            context.target_request = await _parse_completion(context)
        elif path.startswith(_PLAIN_PREFIX):
            context.target_request = await _parse_plain(context)
        else:
            raise DotterelhatchError(
                ErrorKind.NOT_FOUND, f'unknown path {path}'
            )
        request = context.target_request
        if not request.is_idempotent and request.idempotency_key is None:
            raise DotterelhatchError(
                ErrorKind.KEY_REQUIRED,
                'the request is not idempotent: an Idempotency-Key is required',
            )
        context.deadline_seconds = context.arrived_seconds + _timeout_seconds(
            context.exchange.head, request.service
        )
        await proceed()


async def _parse_completion(context: RequestContext) -> TargetRequest:
    head = context.exchange.head
    if head.method != 'POST':
        raise DotterelhatchError(
            ErrorKind.METHOD_NOT_ALLOWED, 'completion requests must use POST'
        )
    body = await context.exchange.read_body(_max_body_bytes(context))
    try:
        completion = _Completion.model_validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        place = '.'.join(str(part) for part in first['loc']) or 'body'
        message = first['msg']
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST, f'{place}: {message}'
        ) from error
    service = _find_service(context, completion.model, ServiceKind.MODEL)
    _check_body_size(body, service)
    return TargetRequest(
        service,
        _outbound_head(head, head.path),
        body,
        _fingerprint(context, service, head, body),
        service.idempotent,
        completion.stream,
        _idempotency_key(head),
        completion.max_tokens,
        completion.prompt_tokens * _PROMPT_TOKEN_UNITS,
    )


async def _parse_plain(context: RequestContext) -> TargetRequest:
    head = context.exchange.head
    remainder = head.path[len(_PLAIN_PREFIX) :]
    name, slash, path = remainder.partition('/')
    service = _find_service(context, name.split('?')[0], ServiceKind.PLAIN)
    body = await context.exchange.read_body(service.limits.max_body_bytes)
    return TargetRequest(
        service,
        _outbound_head(head, f'/{path}' if slash else '/'),
        body,
        _fingerprint(context, service, head, body),
        _is_idempotent(service, head.method, f'/{path}'),
        is_stream=False,
        idempotency_key=_idempotency_key(head),
        hint_units=None,
        prompt_units=0,
    )


def _find_service(
    context: RequestContext, name: str, kind: ServiceKind
) -> Service:
    service = context.config.services_by_id.get(ServiceId(name))
    if service is None or service.kind is not kind:
        raise DotterelhatchError(
            ErrorKind.UNKNOWN_SERVICE, f'unknown {kind.value} service "{name}"'
        )
    return service


def _max_body_bytes(context: RequestContext) -> int:
    return max(
        (
            service.limits.max_body_bytes
            for service in context.config.services
            if service.kind is ServiceKind.MODEL
        ),
        default=0,
    )


def _check_body_size(body: bytes, service: Service) -> None:
    limit = service.limits.max_body_bytes
    if len(body) > limit:
        raise DotterelhatchError(
            ErrorKind.BODY_TOO_LARGE, f'the request body exceeds {limit} bytes'
        )


def _outbound_head(head: RequestHead, path: str) -> RequestHead:
    headers = tuple(
        (name, value)
        for name, value in end_to_end_headers(head.headers)
        if canonical_name(name) not in _DROPPED_HEADERS
    )
    return RequestHead(head.method, path, headers)


def _fingerprint(
    context: RequestContext, service: Service, head: RequestHead, body: bytes
) -> Fingerprint:
    digest = hashlib.sha256()
    for part in (context.organisation, service.id, head.method, head.path):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(body)
    return Fingerprint(digest.hexdigest()[:32])


def _is_idempotent(service: Service, method: str, path: str) -> bool:
    matching = [
        route
        for route in service.routes
        if method in route.methods and path.startswith(route.path_prefix)
    ]
    if matching:
        # The route with the longest prefix decides.
        return max(matching, key=lambda item: len(item.path_prefix)).idempotent
    return method in _SAFE_METHODS or service.idempotent


def _idempotency_key(head: RequestHead) -> str | None:
    key = head.header('idempotency-key')
    if key is None:
        return None
    printable = key.isascii() and key.isprintable()
    if not key or len(key) > _MAX_KEY_CHARACTERS or not printable:
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST,
            'Idempotency-Key must be 1 to 128 printable ASCII characters',
        )
    return key


def _timeout_seconds(head: RequestHead, service: Service) -> float:
    limit = service.limits.deadline_seconds
    value = head.header('request-timeout-seconds')
    if value is None:
        return limit
    try:
        requested_seconds = float(value)
    except ValueError:
        requested_seconds = 0
    if not 0 < requested_seconds < float('inf'):
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST,
            'Request-Timeout-Seconds must be a positive number',
        )
    return min(requested_seconds, limit)
