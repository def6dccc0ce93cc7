"""Generates the load of benchmarks.fleet and checks all responses.

Each organisation of an example sends requests to the routers. The responses
of the simulated targets show whether they belong to the request.
"""

import hashlib
import itertools
import json
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

import curio

__all__ = (
    'LoadGenerator',
    'LoadProfile',
    'LoadStatistics',
    'PROMPT_WORDS_COUNT',
)

PROMPT_WORDS_COUNT = 20
_RETRY_SECONDS = 0.25
_FLOODING_DELAY_SECONDS = 3.0


@dataclass(frozen=True)
class LoadProfile:
    """Services and organisations of an example, and the load they generate.

    :param model: service that receives completion requests.
    :param plain: service that receives non-idempotent writes.
    :param write_path: path of the writes within the plain service.
    :param backlogged: number of outstanding requests that each of these
        organisations maintains.
    :param flooding: organisation that sends more than its queues accept.
    :param flooding_count: outstanding requests of the flooding organisation.
    :param small: organisations that send short requests and writes at random
        times.
    :param small_interval_seconds: mean time between two short requests of an
        organisation.
    :param mean_tokens: mean length of the completions of the backlogged and
        the flooding organisations, which vary exponentially up to 1000.
    :param short_tokens: short completions have 4 to twice this many tokens.
    """

    example: str
    model: str
    plain: str
    write_path: str
    backlogged: dict[str, int]
    flooding: str
    flooding_count: int
    small: tuple[str, ...]
    small_interval_seconds: float = 0.8
    mean_tokens: int = 120
    short_tokens: int = 12


@dataclass
class LoadStatistics:
    """Statistics of all requests, updated at every event.

    :param units: service received so far by organisation: one unit per token
        and a quarter of one per word of the prompt.
    :param waiting_counts: requests by organisation whose response has not
        begun.
    :param outcomes: number of requests by outcome.
    :param costs: units of each completed request of the backlogged and
        flooding organisations.
    :param short_waits: seconds to the first token of short requests in the
        measured time, by organisation.
    :param first_details: detail of the first request with each outcome.
    :param killed_address: caller address of the router that was killed, empty
        if all run.
    :param is_measured_time: whether requests sent now count for short_waits.
    """

    units: Counter[str] = field(default_factory=Counter)
    waiting_counts: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    costs: list[float] = field(default_factory=list)
    short_waits: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first_details: dict[str, str] = field(default_factory=dict)
    killed_address: str = ''
    is_measured_time: bool = False

    def count_outcome(self, outcome: str, detail: str = '') -> None:
        """Count the outcome of a request and keep its first detail."""
        self.outcomes[outcome] += 1
        self.first_details.setdefault(outcome, detail)


class _IncompleteResponseError(Exception):
    """Raised if a connection ends before the response is complete."""


class LoadGenerator:
    """Sends requests of all organisations to the routers.

    :param addresses: caller addresses of the routers.
    """

    def __init__(
        self, profile: LoadProfile, addresses: list[str], seed: int
    ) -> None:
        """Choose the preferred router of each organisation at random."""
        self.statistics = LoadStatistics()
        self.profile = profile
        self._addresses = addresses
        self._down_addresses: set[str] = set()
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._is_stopping = False
        organisations = [*profile.backlogged, profile.flooding, *profile.small]
        self._preferred = {
            organisation: self._rng.choice(addresses)
            for organisation in organisations
        }

    def set_router_down(self, address: str, *, down: bool) -> None:
        """Set whether a router is down and receives no requests."""
        if down:
            self._down_addresses.add(address)
            self.statistics.killed_address = address
        else:
            self._down_addresses.discard(address)
            self.statistics.killed_address = ''

    async def run(self, duration_seconds: float) -> None:
        """Send requests of all organisations for a time."""
        async with curio.TaskGroup() as group:
            for (
                organisation,
                concurrency,
            ) in self.profile.backlogged.items():
                for _ in range(concurrency):
                    await group.spawn(self._send_backlogged, organisation)
            for small in self.profile.small:
                await group.spawn(self._send_short_requests, small)
                await group.spawn(self._send_writes, small)
            # On an idle fleet the flooding organisation would take the free
            # slots, which would hide how the policies act under contention.
            await curio.sleep(_FLOODING_DELAY_SECONDS)
            for _ in range(self.profile.flooding_count):
                await group.spawn(self._send_backlogged, self.profile.flooding)
            await curio.sleep(duration_seconds - _FLOODING_DELAY_SECONDS)
            self._is_stopping = True
            await group.cancel_remaining()

    async def _send_backlogged(self, organisation: str) -> None:
        rng = random.Random(self._rng.getrandbits(64))
        while not self._is_stopping:
            tokens = 1 + int(rng.expovariate(1 / self.profile.mean_tokens))
            await self._send_completion(organisation, min(tokens, 1000), 1000)

    async def _send_short_requests(self, organisation: str) -> None:
        rng = random.Random(self._rng.getrandbits(64))
        mean_interval_seconds = self.profile.small_interval_seconds
        async with curio.TaskGroup() as group:
            while True:
                await curio.sleep(rng.expovariate(1 / mean_interval_seconds))
                tokens = rng.randint(4, 2 * self.profile.short_tokens)
                await group.spawn(
                    self._send_completion, organisation, tokens, 30
                )

    async def _send_writes(self, organisation: str) -> None:
        rng = random.Random(self._rng.getrandbits(64))
        while True:
            await curio.sleep(rng.expovariate(1.0))
            key = f'{organisation}-{next(self._sequence)}'
            for _attempt in range(3):
                # Retry with the same key, like a client without a response.
                if await self._send_write(organisation, key):
                    break
                await curio.sleep(_RETRY_SECONDS)

    async def _send_write(self, organisation: str, key: str) -> bool:
        body = json.dumps({'key': key}).encode()
        path = f'/v1/services/{self.profile.plain}{self.profile.write_path}'
        head = f'Idempotency-Key: {key}\r\nX-Emulated-Milliseconds: 60\r\n'
        address = self._choose_address(organisation)
        try:
            status, text = await self._post(
                address, organisation, path, head, body
            )
        except (_IncompleteResponseError, OSError) as error:
            self._count_failure(address, 'write', error)
            return False
        if status == 200:
            document = json.loads(text)
            is_own_response = (
                document['digest'] == hashlib.sha256(body).hexdigest()
            )
            self.statistics.count_outcome(
                'write_complete' if is_own_response else 'crossed'
            )
            return True
        code = json.loads(text).get('code', 'none')
        self.statistics.count_outcome(f'write_refused_{code}', text[:200])
        return False

    def _choose_address(self, organisation: str) -> str:
        preferred = self._preferred[organisation]
        up_addresses = [
            address
            for address in self._addresses
            if address not in self._down_addresses
        ]
        if preferred in up_addresses and self._rng.random() < 0.7:
            return preferred
        return self._rng.choice(up_addresses)

    def _count_failure(self, address: str, kind: str, error: Exception) -> None:
        is_killed = address == self.statistics.killed_address
        outcome = 'broken_by_kill' if is_killed else f'lost_{kind}'
        self.statistics.count_outcome(
            outcome, f'{type(error).__name__}: {error}'
        )

    async def _send_completion(
        self, organisation: str, tokens: int, limit: int
    ) -> None:
        prompt = f'{organisation}-{next(self._sequence)} ' + 'word ' * (
            PROMPT_WORDS_COUNT - 1
        )
        body = json.dumps(
            {
                'model': self.profile.model,
                'prompt': prompt,
                'max_tokens': limit,
                'emulated_tokens': tokens,
                'stream': True,
            }
        ).encode()
        request = _CompletionRequest(
            self.statistics,
            organisation,
            prompt,
            tokens,
            records_cost=organisation not in self.profile.small,
        )
        address = self._choose_address(organisation)
        sent_seconds = time.monotonic()
        began_in_measured_time = self.statistics.is_measured_time
        try:
            await request.run(
                address, self._encode_head(organisation, body) + body
            )
        except (_IncompleteResponseError, OSError) as error:
            self._count_failure(address, 'stream', error)
            await curio.sleep(_RETRY_SECONDS)
            return
        finally:
            request.close()
        if request.status != 200:
            await curio.sleep(_RETRY_SECONDS)
        elif began_in_measured_time and organisation in self.profile.small:
            self.statistics.short_waits[organisation].append(
                request.first_seconds - sent_seconds
            )

    def _encode_head(self, organisation: str, body: bytes) -> bytes:
        return (
            'POST /v1/completions HTTP/1.1\r\nHost: fleet\r\n'
            f'Authorization: Bearer {self.profile.example}-{organisation}-key'
            '\r\n'
            'Connection: close\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()

    async def _post(
        self, address: str, organisation: str, path: str, head: str, body: bytes
    ) -> tuple[int, str]:
        request = (
            f'POST {path} HTTP/1.1\r\nHost: fleet\r\n{head}'
            f'Authorization: Bearer {self.profile.example}-{organisation}-key'
            '\r\n'
            'Connection: close\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        async with await _connect(address) as stream:
            await stream.write(request)
            await stream.flush()
            response_head = await _read_response_head(stream)
            chunks = [
                chunk async for chunk in _iter_chunks(stream, response_head)
            ]
        return response_head.status, b''.join(chunks).decode()


class _CompletionRequest:
    """One streamed completion whose tokens are checked one by one."""

    def __init__(
        self,
        statistics: LoadStatistics,
        organisation: str,
        prompt: str,
        tokens: int,
        *,
        records_cost: bool,
    ) -> None:
        self._statistics = statistics
        self._records_cost = records_cost
        self._organisation = organisation
        self._expected_digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
        self._tokens_count = tokens
        self._received_count = 0
        self._is_waiting = True
        self._is_complete = False
        self.first_seconds = 0.0
        self.status = 0
        statistics.waiting_counts[organisation] += 1

    async def run(self, address: str, request: bytes) -> None:
        """Send the request and read the response."""
        async with await _connect(address) as stream:
            await stream.write(request)
            await stream.flush()
            response_head = await _read_response_head(stream)
            self.status = response_head.status
            self._on_response_started()
            unparsed = b''
            async for chunk in _iter_chunks(stream, response_head):
                *lines, unparsed = (unparsed + chunk).split(b'\n')
                for line in lines:
                    if line.startswith(b'data: '):
                        self._on_event(line[6:])
        if self.status != 200:
            text = unparsed.decode()
            self._statistics.count_outcome(
                f'refused_{_error_code(text)}', text[:200]
            )
        elif not self._is_complete:
            raise _IncompleteResponseError(
                'stream ended before all tokens and the end marker'
            )

    def close(self) -> None:
        """Stop counting the request as waiting."""
        if self._is_waiting:
            self._statistics.waiting_counts[self._organisation] -= 1
        self._is_waiting = False

    def _on_response_started(self) -> None:
        self._statistics.waiting_counts[self._organisation] -= 1
        self._is_waiting = False

    def _on_event(self, data: bytes) -> None:
        if data.strip() == b'[DONE]':
            self._is_complete = self._received_count == self._tokens_count
            self._statistics.count_outcome(
                'complete' if self._is_complete else 'incomplete'
            )
            if self._records_cost:
                cost = self._tokens_count + PROMPT_WORDS_COUNT / 4
                self._statistics.costs.append(cost)
            return
        text = json.loads(data)['choices'][0]['text']
        if text != f'{self._expected_digest}-{self._received_count} ':
            self._statistics.count_outcome('crossed', text)
        if not self._received_count:
            self.first_seconds = time.monotonic()
            self._statistics.units[self._organisation] += PROMPT_WORDS_COUNT / 4
        self._received_count += 1
        self._statistics.units[self._organisation] += 1


def _error_code(text: str) -> str:
    try:
        return str(json.loads(text).get('code', 'none'))
    except ValueError:
        return 'unreadable'


class _ClosingStream:
    """Closes a stream on exit, also if the task is cancelled."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    async def __aenter__(self) -> Any:
        return self._stream

    async def __aexit__(self, *exc_info: object) -> None:
        async with curio.disable_cancellation():
            await self._stream.close()


async def _connect(address: str) -> _ClosingStream:
    host, _, port = address.rpartition(':')
    sock = await curio.open_connection(host, int(port))
    return _ClosingStream(sock.as_stream())


@dataclass(frozen=True)
class _ResponseHead:
    """Status of a response and its length, None if it is chunked."""

    status: int
    length_bytes: int | None


async def _read_response_head(stream: Any) -> _ResponseHead:
    status_line = await stream.readline()
    if not status_line:
        raise _IncompleteResponseError(
            'connection closed before the status line'
        )
    length_bytes: int | None = None
    while True:
        line = await stream.readline()
        if not line:
            raise _IncompleteResponseError(
                'connection closed within the response head'
            )
        if line in {b'\r\n', b'\n'}:
            break
        field_name, _, content = line.decode('latin-1').partition(':')
        if field_name.lower() == 'content-length':
            length_bytes = int(content)
    return _ResponseHead(int(status_line.split()[1]), length_bytes)


async def _iter_chunks(stream: Any, head: _ResponseHead) -> Any:
    if head.length_bytes is not None:
        yield await _read_exactly(stream, head.length_bytes)
        return
    while True:
        size_line = await stream.readline()
        if not size_line.strip():
            raise _IncompleteResponseError(
                'connection closed before the last chunk'
            )
        size_bytes = int(size_line, 16)
        if not size_bytes:
            return
        # A chunk ends with CRLF, which its size doesn't include.
        chunk = await _read_exactly(stream, size_bytes + 2)
        yield chunk[:-2]


async def _read_exactly(stream: Any, count: int) -> bytes:
    try:
        content: bytes = await stream.read_exactly(count)
    except EOFError as error:
        raise _IncompleteResponseError(
            'connection closed within the response body'
        ) from error
    return content
