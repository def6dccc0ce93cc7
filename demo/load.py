"""Load generator that checks every response it receives."""

import hashlib
import json
import random
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import curio
import h11

from dotterelhatch.net.client import encode_request
from dotterelhatch.net.http import (
    Headers,
    HttpError,
    NotSentError,
    RequestHead,
    Response,
    ResponseLostError,
    decode_headers,
    fetch,
)
from dotterelhatch.net.sse import EventSplitter
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = (
    'AddressCache',
    'Caller',
    'CheckedRequest',
    'RequestStatistics',
    'compare_journals',
    'fetch_stream',
)

_MODEL_SERVICE: Final = 'usta-model'
_PLAIN_SERVICE: Final = 'siparis-app'
_TIMEOUT_SECONDS: Final = 130.0
_CONNECT_TIMEOUT_SECONDS: Final = 2.0
_MAX_ATTEMPTS_COUNT: Final = 30
_RETRY_DELAY_SECONDS: Final = 1.0
_UNITS_PER_PROMPT_TOKEN: Final = 0.25
_CHARACTERS_PER_TOKEN: Final = 4
_END_MARKER: Final = '[DONE]'
# Codes of errors of a single router: the request goes to another one.
_OTHER_ROUTER_CODES: Final = frozenset(('stopping', 'not_ready'))
# Codes of errors after which the same request can safely be sent again.
_RETRY_LATER_CODES: Final = frozenset(
    ('queue_full', 'no_target', 'store_unavailable', 'in_progress')
)


@dataclass
class RequestStatistics:
    """Counts of the requests of one organisation.

    :param lost: requests that ended without a response.
    :param wrong_responses: responses that are incomplete or belong to another
        request.
    :param duplicate_executions: requests with an idempotency key that were
        executed more than once.
    :param false_rejections: requests that were executed although every
        response said that they were not.
    :param unexecuted_responses: responses to requests that no target executed.
    :param unknown_outcomes: requests with an idempotency key whose response
        gives an unknown outcome.
    :param repeated_executions: repeated executions of completions; allowed.
    :param replayed_responses: stored responses to repeated requests.
    :param broken_connections: attempts without a complete response.
    :param model_units: received tokens plus a quarter of the prompt tokens.
    :param rejections: error responses by code.
    :param problems: descriptions of what went wrong.
    """

    requests: int = 0
    responses: int = 0
    lost: int = 0
    wrong_responses: int = 0
    duplicate_executions: int = 0
    false_rejections: int = 0
    unexecuted_responses: int = 0
    unknown_outcomes: int = 0
    repeated_executions: int = 0
    replayed_responses: int = 0
    broken_connections: int = 0
    model_responses: int = 0
    model_units: float = 0.0
    rejections: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)

    @property
    def is_correct(self) -> bool:
        """Return whether each request got its own response exactly once."""
        faults = (
            self.lost,
            self.wrong_responses,
            self.duplicate_executions,
            self.false_rejections,
            self.unexecuted_responses,
        )
        return not any(faults)

    def add(self, other: 'RequestStatistics') -> None:
        """Add the counts of another object."""
        for name, amount in vars(other).items():
            if isinstance(amount, Counter):
                self.rejections.update(amount)
            elif isinstance(amount, list):
                self.problems.extend(amount)
            else:
                setattr(self, name, getattr(self, name) + amount)


@dataclass(frozen=True)
class CheckedRequest:
    """One request with the expected content of its response.

    :param text: text that occurs in no other request.
    :param key: idempotency key.
    :param prompt: set for completions.
    :param tokens_count: expected number of output tokens.
    """

    method: str
    path: str
    text: str
    body: bytes = b''
    key: str | None = None
    prompt: str | None = None
    tokens_count: int = 0
    is_stream: bool = False

    @classmethod
    def completion(
        cls,
        text: str,
        tokens_count: int,
        *,
        chat: bool = False,
        is_stream: bool = False,
    ) -> 'CheckedRequest':
        """Return a completion request with a unique prompt."""
        document: dict[str, Any] = {
            'model': _MODEL_SERVICE,
            'max_tokens': 2 * tokens_count,
            'emulated_tokens': tokens_count,
            'stream': is_stream,
        }
        if chat:
            document['messages'] = [{'role': 'user', 'content': text}]
        else:
            document['prompt'] = text
        return cls(
            'POST',
            '/v1/chat/completions' if chat else '/v1/completions',
            text,
            json.dumps(document).encode(),
            prompt=text,
            tokens_count=tokens_count,
            is_stream=is_stream,
        )

    @classmethod
    def lookup(cls, text: str) -> 'CheckedRequest':
        """Return an idempotent read request."""
        return cls('GET', f'/v1/services/{_PLAIN_SERVICE}/orders/{text}', text)

    @classmethod
    def deposit(cls, text: str) -> 'CheckedRequest':
        """Return a write request that must be executed at most once."""
        body = json.dumps({'deposit': text}).encode()
        path = f'/v1/services/{_PLAIN_SERVICE}/deposits'
        return cls('POST', path, text, body, key=f'key-{text}')

    @property
    def digest(self) -> str:
        """Return the digest of the body as recorded in the journals."""
        return hashlib.sha256(self.body).hexdigest()

    @property
    def cost_units(self) -> float:
        """Return the cost of a completion with a complete response."""
        prompt_tokens = len(self.prompt or '') / _CHARACTERS_PER_TOKEN
        return self.tokens_count + prompt_tokens * _UNITS_PER_PROMPT_TOKEN

    def find_mismatch(self, body: bytes) -> str | None:
        """Describe how a complete response differs from the expected one.

        :returns: None if it doesn't.
        """
        try:
            if self.prompt is None:
                return self._find_plain_mismatch(json.loads(body))
            text = _stream_text(body) if self.is_stream else _whole_text(body)
        except (ValueError, LookupError, TypeError) as error:
            return f'malformed response: {error!r}'
        digest = hashlib.sha256(self.prompt.encode()).hexdigest()[:8]
        expected = ''.join(
            f'{digest}-{number} ' for number in range(self.tokens_count)
        )
        return None if text == expected else f'wrong text: {text[:60]}'

    def _find_plain_mismatch(self, document: dict[str, Any]) -> str | None:
        expected = {
            'method': self.method,
            'path': self.path.removeprefix(f'/v1/services/{_PLAIN_SERVICE}'),
            'digest': self.digest,
            'key': self.key,
        }
        actual = {name: document.get(name) for name in expected}
        return (
            None
            if actual == expected
            else f'response to another request: {actual}'
        )


class AddressCache:
    """Cached list of router addresses, refreshed from the routers.

    :param seed_addresses: addresses to query first.
    """

    def __init__(self, seed_addresses: Sequence[str]) -> None:
        """Create a cache that holds only the seed addresses."""
        self._addresses = list(seed_addresses)
        self._expires_seconds = 0.0

    async def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses, refreshed once the list has expired."""
        if time.monotonic() >= self._expires_seconds:
            for address in tuple(self._addresses):
                if await self._refresh_from(address):
                    break
        return tuple(self._addresses)

    def demote(self, address: str) -> None:
        """Move an address that failed to the end of the list."""
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.append(address)

    async def _refresh_from(self, address: str) -> bool:
        try:
            response = await fetch(address, 'GET', '/v1/addresses')
        except HttpError:
            self.demote(address)
            return False
        document = json.loads(response.body)
        if response.status != 200 or not document['addresses']:
            return False
        self._addresses = [entry['address'] for entry in document['addresses']]
        self._expires_seconds = time.monotonic() + document['ttl_seconds']
        return True


class Caller:
    """Sends the requests of one organisation.

    :param name: prefix of the unique texts of its requests.
    :param key: API key.
    :param seed_addresses: router addresses to query first.
    :param seed: of the order of these addresses.
    """

    def __init__(
        self, name: str, key: str, seed_addresses: Sequence[str], seed: int = 1
    ) -> None:
        """Create a caller that has sent no requests."""
        self.name = name
        self.statistics = RequestStatistics()
        self.sent_requests: list[CheckedRequest] = []
        self.answered_texts: set[str] = set()
        self.not_executed_texts: set[str] = set()
        self._key = key
        self._rng = random.Random(f'{seed}:{name}')
        shuffled = list(seed_addresses)
        self._rng.shuffle(shuffled)
        self.address_cache = AddressCache(shuffled)
        self._numbers = iter(range(10**9))

    def next_text(self) -> str:
        """Return a text that occurs in no other request."""
        return f'{self.name}-{next(self._numbers)}'

    async def send_and_check(self, request: CheckedRequest) -> Response | None:
        """Send a request with retries and check its response.

        :returns: the response, None if there is none or it is wrong.
        """
        self.statistics.requests += 1
        self.sent_requests.append(request)
        response = await self._send_until_answered(request)
        if response is None:
            return None
        mismatch = request.find_mismatch(response.body)
        if mismatch is not None:
            self.statistics.wrong_responses += 1
            self.statistics.problems.append(f'{request.text}: {mismatch}')
            return None
        self.statistics.responses += 1
        self.answered_texts.add(request.text)
        if request.prompt is not None:
            self.statistics.model_responses += 1
            self.statistics.model_units += request.cost_units
        return response

    async def send_and_replay(
        self, request: CheckedRequest, replays_count: int
    ) -> None:
        """Send a request with a key again; all responses must be the same."""
        first = await self.send_and_check(request)
        for _ in range(replays_count if first is not None else 0):
            replay = await self._send_until_answered(request)
            is_replay = (
                replay is not None
                and replay.header('Idempotent-Replayed') == 'true'
            )
            if replay is None or first is None:
                continue
            if not is_replay or replay.body != first.body:
                self.statistics.wrong_responses += 1
                self.statistics.problems.append(
                    f'{request.text}: differs from the first response'
                )
            self.statistics.replayed_responses += is_replay

    async def _send_until_answered(
        self, request: CheckedRequest
    ) -> Response | None:
        was_not_executed = True
        for attempt in range(_MAX_ATTEMPTS_COUNT):
            address = (await self.address_cache.list_addresses())[0]
            try:
                response = await self._send(request, address)
            except HttpError as error:
                was_not_executed = was_not_executed and isinstance(
                    error, NotSentError
                )
                self.statistics.broken_connections += 1
                await self._demote_and_wait(address, attempt)
                continue
            if response.status == 200:
                return response
            problem = json.loads(response.body)
            was_not_executed = was_not_executed and problem['executed'] == 'no'
            if not await self._wait_for_retry(request, problem, address):
                break
        else:
            self._record_lost_request(
                f'{request.text}: no attempt got a response'
            )
        if was_not_executed:
            self.not_executed_texts.add(request.text)
        return None

    async def _demote_and_wait(self, address: str, attempt: int) -> None:
        self.address_cache.demote(address)
        await curio.sleep(0.05 * (1 + attempt % 4))

    async def _wait_for_retry(
        self, request: CheckedRequest, problem: dict[str, Any], address: str
    ) -> bool:
        """Wait before the next attempt; return False if there is none."""
        code = problem['code']
        self.statistics.rejections[code] += 1
        if code in _OTHER_ROUTER_CODES:
            await self._demote_and_wait(address, 0)
            return True
        if code in _RETRY_LATER_CODES:
            await curio.sleep(_RETRY_DELAY_SECONDS)
            return True
        if code == 'outcome_unknown':
            self.statistics.unknown_outcomes += 1
        else:
            detail = problem['detail']
            self._record_lost_request(f'{request.text}: {code}: {detail}')
        return False

    def _record_lost_request(self, description: str) -> None:
        self.statistics.lost += 1
        self.statistics.problems.append(description)

    async def _send(self, request: CheckedRequest, address: str) -> Response:
        headers: Headers = (('Authorization', f'Bearer {self._key}'),)
        if request.key is not None:
            headers += (('Idempotency-Key', request.key),)
        if request.body:
            headers += (('Content-Type', 'application/json'),)
        send = fetch_stream if request.is_stream else fetch
        return await send(
            address,
            request.method,
            request.path,
            headers,
            request.body,
            timeout_seconds=_TIMEOUT_SECONDS,
        )


async def fetch_stream(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
    timeout_seconds: float,
    started: curio.Event | None = None,
) -> Response:
    """Send a request and return its streamed response if it is complete.

    :param timeout_seconds: for the whole exchange.
    :param started: set when the first part of the body has arrived.
    :raises NotSentError: if the connection can't be opened.
    :raises ResponseLostError: if the stream ends early or times out.
    """
    try:
        connection = await SocketStream.connect(
            address, _CONNECT_TIMEOUT_SECONDS
        )
    except (OSError, WaitTimeoutError) as error:
        raise NotSentError(f'{address}: {error}') from error
    http = h11.Connection(h11.CLIENT)
    head = RequestHead(method, path, headers)
    try:
        await connection.write(
            encode_request(http, address, head, body, keep_alive=False)
        )
        async with curio.timeout_after(timeout_seconds):
            return await _read_stream(connection, http, started)
    except (OSError, h11.ProtocolError, curio.TaskTimeout) as error:
        raise ResponseLostError(f'{address}: {error!r}') from error
    finally:
        connection.close()


async def _read_stream(
    connection: SocketStream, http: h11.Connection, started: curio.Event | None
) -> Response:
    head: Any = None
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await connection.read())
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body.extend(event.data)
            if started is not None:
                await started.set()
        elif isinstance(event, h11.EndOfMessage):
            headers = decode_headers(head.headers)
            return Response(head.status_code, headers, bytes(body))
        else:
            raise h11.RemoteProtocolError(
                'stream ended before the end of the message'
            )


def _whole_text(body: bytes) -> str:
    choice = json.loads(body)['choices'][0]
    if 'message' in choice:
        return str(choice['message']['content'])
    return str(choice['text'])


def _stream_text(body: bytes) -> str:
    splitter = EventSplitter()
    events = splitter.feed(body)
    if splitter.pending or events[-1].data != _END_MARKER:
        raise ValueError('complete stream without its end marker')
    return ''.join(_chunk_text(event.data) for event in events[:-1])


def _chunk_text(data: str) -> str:
    choice = json.loads(data)['choices'][0]
    if 'delta' in choice:
        return str(choice['delta']['content'])
    return str(choice['text'])


async def compare_journals(
    callers: Sequence[Caller], control_addresses: Sequence[str]
) -> None:
    """Add differences from the journals of the targets to the statistics."""
    keys: Counter[str] = Counter()
    digests: Counter[str] = Counter()
    for address in control_addresses:
        response = await fetch(address, 'GET', '/journal', timeout_seconds=30)
        for entry in json.loads(response.body)['writes']:
            keys[entry['key']] += entry['key'] is not None
            digests[entry['digest']] += 1
    for caller in callers:
        for request in _recorded_requests(caller):
            executions_count = (
                keys[request.key] if request.key else digests[request.digest]
            )
            _compare_executions(caller, request, executions_count)


def _recorded_requests(caller: Caller) -> Iterator[CheckedRequest]:
    """Return the requests that the journals list with their content."""
    return (
        request for request in caller.sent_requests if request.method != 'GET'
    )


def _compare_executions(
    caller: Caller, request: CheckedRequest, executions_count: int
) -> None:
    statistics = caller.statistics
    if request.text in caller.answered_texts and not executions_count:
        statistics.unexecuted_responses += 1
    if request.text in caller.not_executed_texts and executions_count:
        statistics.false_rejections += 1
    if request.key is None:
        statistics.repeated_executions += max(0, executions_count - 1)
    elif executions_count > 1:
        statistics.duplicate_executions += 1
        statistics.problems.append(
            f'{request.text}: was executed {executions_count} times'
        )
