"""Callers that resolve router addresses, send requests and check responses."""

import enum
import json
import random
import time
from dataclasses import dataclass, field
from typing import Final

import curio

from dotterelhatch.net.http import HttpError, Response, fetch
from soak.connection import KeptConnection
from soak.environment import HOST, KEY, SoakEnvironment
from soak.servers import TENANT_HEADER, expected_body, expected_stream

__all__ = ('Caller', 'RequestOutcome', 'RequestRecord')

_OK: Final = 200
_DEADLINE_SECONDS: Final = 4.0
# With these statuses a router guarantees that the request was not executed.
_REJECTION_STATUSES: Final = frozenset((408, 421, 429, 503))
_ROUTES: Final = ('lookup', 'booking', 'draft', 'advice')
_STREAMING_ROUTES: Final = frozenset(('draft', 'advice'))
_MAX_PAUSE_SECONDS: Final = 0.15
_ADDRESS_TTL_SECONDS: Final = 1.0
# Requests between two whose prompts have many parts.
_LONG_PROMPT_INTERVAL: Final = 7
_LONG_PROMPT_PARTS_COUNT: Final = 300


class RequestOutcome(enum.Enum):
    """Result of a request as seen by its caller.

    REJECTED: the router responded that the request was not executed. FAILED:
    it responded with another error. LOST: the connection failed without a
    complete response.
    """

    SERVED = 'served'
    REJECTED = 'refused'
    FAILED = 'failed'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request as seen by its caller."""

    request_id: str
    route: str
    sent_seconds: float
    outcome: RequestOutcome
    detail: str


@dataclass
class Caller:
    """Sends requests one after the other.

    :param keeps_connection: whether it uses a connection until the router
        closes it, also that of a router that is not named any more.
    :param address: of the only router that it uses.
    :param max_pause_seconds: between two requests.
    :param records: all requests so far.
    """

    name: str
    environment: SoakEnvironment
    rng: random.Random
    keeps_connection: bool = False
    address: str = ''
    max_pause_seconds: float = _MAX_PAUSE_SECONDS
    records: list[RequestRecord] = field(default_factory=list)
    _addresses: list[str] = field(default_factory=list)
    _resolved_seconds: float = 0.0
    _connection: KeptConnection = field(default_factory=KeptConnection)

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        while True:
            route = self.rng.choice(_ROUTES)
            request_id = f'{self.name}-{len(self.records)}'
            sent_seconds = time.monotonic()
            outcome, detail = await self._send(route, request_id)
            self.records.append(
                RequestRecord(request_id, route, sent_seconds, outcome, detail)
            )
            await curio.sleep(self.rng.uniform(0, self.max_pause_seconds))

    async def _send(
        self, route: str, request_id: str
    ) -> tuple[RequestOutcome, str]:
        address = ''
        if not self._connection.is_open:
            address = await self._choose_address()
        try:
            response = await self._fetch(address, route, request_id)
        except HttpError as error:
            self._addresses = []
            return RequestOutcome.LOST, f'{address}: {error}'
        return self._classify(route, request_id, response)

    async def _fetch(
        self, address: str, route: str, request_id: str
    ) -> Response:
        path = f'/{route}/{request_id}'
        parts_count = 1
        if len(self.records) % _LONG_PROMPT_INTERVAL == 0:
            parts_count = _LONG_PROMPT_PARTS_COUNT
        headers = _headers(route, request_id, parts_count)
        if self.keeps_connection:
            headers += (
                ('Connection', f'keep-alive, {TENANT_HEADER}'),
                ('Content-Length', '0'),
            )
            return await self._connection.fetch(
                address, path, headers, _DEADLINE_SECONDS
            )
        return await fetch(
            address,
            'POST',
            path,
            headers,
            b'{}',
            timeout_seconds=_DEADLINE_SECONDS,
        )

    def _classify(
        self, route: str, request_id: str, response: Response
    ) -> tuple[RequestOutcome, str]:
        if response.status in _REJECTION_STATUSES:
            return RequestOutcome.REJECTED, str(response.status)
        if response.status != _OK:
            self._check_status(request_id, response)
            return RequestOutcome.FAILED, str(response.status)
        expected = expected_body(request_id)
        if route in _STREAMING_ROUTES:
            expected = expected_stream(request_id)
        if response.body != expected:
            self.environment.problems.append(
                f'{request_id}: complete response with a wrong body:'
                f' {response.body!r}'
            )
        if response.header('Dotterelhatch-Response-Stamp') is None:
            self.environment.problems.append(
                f'{request_id}: status 200 without the server header'
                ' Dotterelhatch-Response-Stamp'
            )
        return RequestOutcome.SERVED, '200'

    def _check_status(self, request_id: str, response: Response) -> None:
        if response.status in {500, 502, 504}:
            return
        self.environment.problems.append(
            f'{request_id}: unexpected status {response.status}'
        )

    async def _choose_address(self) -> str:
        if self.address:
            return self.address
        now_seconds = time.monotonic()
        if now_seconds - self._resolved_seconds > _ADDRESS_TTL_SECONDS:
            self._addresses = []
        if not self._addresses:
            self._addresses = await self._resolve_addresses()
            self._resolved_seconds = time.monotonic()
        return self.rng.choice(self._addresses)

    async def _resolve_addresses(self) -> list[str]:
        all_endpoints = [
            router.endpoints for router in self.environment.routers
        ]
        for endpoints in self.rng.sample(all_endpoints, len(all_endpoints)):
            addresses = await _query_directory(endpoints.directory_address)
            if addresses:
                return addresses
        return [fallback.caller_address for fallback in all_endpoints]


async def _query_directory(directory: str) -> list[str]:
    path = f'/resolve?name={HOST}&zone=zone-0'
    try:
        response = await fetch(directory, 'GET', path, timeout_seconds=1)
    except HttpError:
        return []
    if response.status != _OK:
        return []
    return [str(address) for address in json.loads(response.body)['addresses']]


def _headers(
    route: str, request_id: str, parts_count: int
) -> tuple[tuple[str, str], ...]:
    headers = (
        ('Host', HOST),
        ('Dotterelhatch-Request-Id', request_id),
        ('Dotterelhatch-Deadline-Ms', str(int(_DEADLINE_SECONDS * 1000))),
        ('Authorization', f'Bearer {KEY}'),
    )
    if route not in _STREAMING_ROUTES:
        return headers
    tokens = 600 // parts_count
    shared = ','.join(f'aa{part}:{tokens}' for part in range(parts_count))
    return (
        *headers,
        ('Dotterelhatch-Token-Counts', '900,40'),
        ('Dotterelhatch-Prompt-Prefix', f'{shared},{request_id}:300'),
    )
