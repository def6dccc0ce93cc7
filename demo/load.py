"""A caller of the fleet that checks every answer it receives."""

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

_MODEL: Final = 'usta-model'
_PLAIN: Final = 'siparis-app'
_TIMEOUT_SECONDS: Final = 130.0
_CONNECT_SECONDS: Final = 2.0
_ATTEMPTS_COUNT: Final = 30
_PAUSE_SECONDS: Final = 1.0
_PROMPT_TOKEN_UNITS: Final = 0.25
_CHARACTERS_PER_TOKEN: Final = 4
_END: Final = '[DONE]'
_GO_ELSEWHERE: Final = frozenset(('stopping', 'not_ready'))
# The same request may be sent again after these without a risk.
_TRY_LATER: Final = frozenset(
    ('queue_full', 'no_target', 'store_unavailable', 'in_progress')
)


@dataclass
class RequestStatistics:
    """What one organisation sent and received.

    :param losses: requests that ended without an answer.
    :param crossings: answers that are not whole or belong to another request.
    :param duplicates: keyed requests that ran more than once.
    :param false_rejections: requests that ran although every answer said
        that they did not.
    :param unjournalled: answers to requests that no target ran.
    :param unknown: keyed requests answered with an unknown outcome.
    :param reruns: completions that ran more than once, which is allowed.
    :param model_units: tokens received plus a quarter of the prompt's.
    """

    requests: int = 0
    responses: int = 0
    lost: int = 0
    wrong_responses: int = 0
    duplicate_runs: int = 0
    false_rejections: int = 0
    unexecuted_responses: int = 0
    unknown_outcomes: int = 0
    repeated_runs: int = 0
    replayed_responses: int = 0
    broken_connections: int = 0
    model_responses: int = 0
    model_units: float = 0.0
    rejections: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)

    @property
    def is_clean(self) -> bool:
        """Return whether each request got its own answer once."""
        faults = (
            self.lost,
            self.wrong_responses,
            self.duplicate_runs,
            self.false_rejections,
            self.unexecuted_responses,
        )
        return not any(faults)

    def add(self, other: 'RequestStatistics') -> None:
        """Add the counts of another tally."""
        for name, amount in vars(other).items():
            if isinstance(amount, Counter):
                self.rejections.update(amount)
            elif isinstance(amount, list):
                self.problems.extend(amount)
            else:
                setattr(self, name, getattr(self, name) + amount)


@dataclass(frozen=True)
class CheckedRequest:
    """One request with what its answer must contain.

    :param text: unique text of the request.
    :param prompt: set for completions.
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
            'model': _MODEL,
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
        """Return a request that only reads."""
        return cls('GET', f'/v1/services/{_PLAIN}/orders/{text}', text)

    @classmethod
    def deposit(cls, text: str) -> 'CheckedRequest':
        """Return a request that must run at most once."""
        body = json.dumps({'deposit': text}).encode()
        path = f'/v1/services/{_PLAIN}/deposits'
        return cls('POST', path, text, body, key=f'key-{text}')

    @property
    def digest(self) -> str:
        """Return the digest of the body, which the journals list."""
        return hashlib.sha256(self.body).hexdigest()

    @property
    def units(self) -> float:
        """Return the cost of the whole answer of a completion."""
        prompt_tokens = len(self.prompt or '') / _CHARACTERS_PER_TOKEN
        return self.tokens_count + prompt_tokens * _PROMPT_TOKEN_UNITS

    def find_mismatch(self, body: bytes) -> str | None:
        """Return what is wrong with a complete answer, None if nothing."""
        try:
            if self.prompt is None:
                return self._find_plain_fault(json.loads(body))
            text = _stream_text(body) if self.is_stream else _whole_text(body)
        except (ValueError, LookupError, TypeError) as error:
            return f'malformed answer: {error!r}'
        digest = hashlib.sha256(self.prompt.encode()).hexdigest()[:8]
        wanted = ''.join(
            f'{digest}-{number} ' for number in range(self.tokens_count)
        )
        return None if text == wanted else f'wrong text: {text[:60]}'

    def _find_plain_fault(self, document: dict[str, Any]) -> str | None:
        wanted = {
            'method': self.method,
            'path': self.path.removeprefix(f'/v1/services/{_PLAIN}'),
            'digest': self.digest,
            'key': self.key,
        }
        found = {name: document.get(name) for name in wanted}
        return None if found == wanted else f'another request: {found}'


class AddressCache:
    """Entry addresses as the system names them.

    :param seeds: addresses to ask first.
    """

    def __init__(self, seeds: Sequence[str]) -> None:
        """Know only the seeds."""
        self._addresses = list(seeds)
        self._expires_seconds = 0.0

    async def ordered(self) -> tuple[str, ...]:
        """Return the addresses, asked for anew when the answer expired."""
        if time.monotonic() >= self._expires_seconds:
            for address in tuple(self._addresses):
                if await self._ask(address):
                    break
        return tuple(self._addresses)

    def demote(self, address: str) -> None:
        """Put an address that did not serve behind all others."""
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.append(address)

    async def _ask(self, address: str) -> bool:
        try:
            response = await fetch(address, 'GET', '/v1/addresses')
        except HttpError:
            self.demote(address)
            return False
        document = json.loads(response.body)
        if response.status != 200 or not document['addresses']:
            return False
        self._addresses = [one['address'] for one in document['addresses']]
        self._expires_seconds = time.monotonic() + document['ttl_seconds']
        return True


class Caller:
    """Sends the requests of one organisation.

    :param name: part of the unique texts of its requests.
    :param key: API key.
    """

    def __init__(
        self, name: str, key: str, seeds: Sequence[str], seed: int = 1
    ) -> None:
        """Start without requests."""
        self.name = name
        self.statistics = RequestStatistics()
        self.calls: list[CheckedRequest] = []
        self.answered_texts: set[str] = set()
        self.not_executed_texts: set[str] = set()
        self._key = key
        self._rng = random.Random(f'{seed}:{name}')
        shuffled = list(seeds)
        self._rng.shuffle(shuffled)
        self.address_cache = AddressCache(shuffled)
        self._numbers = iter(range(10**9))

    def next_text(self) -> str:
        """Return a text that no other request carries."""
        return f'{self.name}-{next(self._numbers)}'

    async def send_and_check(self, call: CheckedRequest) -> Response | None:
        """Send a request until it is answered; return the answer."""
        self.statistics.requests += 1
        self.calls.append(call)
        response = await self._send_until_answered(call)
        if response is None:
            return None
        fault = call.find_mismatch(response.body)
        if fault is not None:
            self.statistics.wrong_responses += 1
            self.statistics.problems.append(f'{call.text}: {fault}')
            return None
        self.statistics.responses += 1
        self.answered_texts.add(call.text)
        if call.prompt is not None:
            self.statistics.model_responses += 1
            self.statistics.model_units += call.units
        return response

    async def send_and_replay(
        self, call: CheckedRequest, repeats_count: int
    ) -> None:
        """Send a keyed request and repeat it; all answers must be the same."""
        first = await self.send_and_check(call)
        for _ in range(repeats_count if first is not None else 0):
            again = await self._send_until_answered(call)
            is_replay = (
                again is not None
                and again.header('Idempotent-Replayed') == 'true'
            )
            if again is None or first is None:
                continue
            if not is_replay or again.body != first.body:
                self.statistics.wrong_responses += 1
                self.statistics.problems.append(
                    f'{call.text}: not the first answer'
                )
            self.statistics.replayed_responses += is_replay

    async def _send_until_answered(
        self, call: CheckedRequest
    ) -> Response | None:
        not_run = True
        for attempt in range(_ATTEMPTS_COUNT):
            address = (await self.address_cache.ordered())[0]
            try:
                response = await self._send(call, address)
            except HttpError as error:
                not_run = not_run and isinstance(error, NotSentError)
                self.statistics.broken_connections += 1
                await self._leave_address(address, attempt)
                continue
            if response.status == 200:
                return response
            problem = json.loads(response.body)
            not_run = not_run and problem['executed'] == 'no'
            if not await self._may_repeat(call, problem, address):
                break
        else:
            self._note_loss(f'{call.text}: no attempt was answered')
        if not_run:
            self.not_executed_texts.add(call.text)
        return None

    async def _leave_address(self, address: str, attempt: int) -> None:
        self.address_cache.demote(address)
        await curio.sleep(0.05 * (1 + attempt % 4))

    async def _may_repeat(
        self, call: CheckedRequest, problem: dict[str, Any], address: str
    ) -> bool:
        """Wait before the next attempt; return whether there is one."""
        code = problem['code']
        self.statistics.rejections[code] += 1
        if code in _GO_ELSEWHERE:
            await self._leave_address(address, 0)
            return True
        if code in _TRY_LATER:
            await curio.sleep(_PAUSE_SECONDS)
            return True
        if code == 'outcome_unknown':
            self.statistics.unknown_outcomes += 1
        else:
            detail = problem['detail']
            self._note_loss(f'{call.text}: {code}: {detail}')
        return False

    def _note_loss(self, note: str) -> None:
        self.statistics.lost += 1
        self.statistics.problems.append(note)

    async def _send(self, call: CheckedRequest, address: str) -> Response:
        headers: Headers = (('Authorization', f'Bearer {self._key}'),)
        if call.key is not None:
            headers += (('Idempotency-Key', call.key),)
        if call.body:
            headers += (('Content-Type', 'application/json'),)
        send = fetch_stream if call.is_stream else fetch
        return await send(
            address,
            call.method,
            call.path,
            headers,
            call.body,
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
    """Read a streamed answer; it is returned only if it is complete.

    :param timeout_seconds: for the whole exchange.
    :param started: set when the first part of the body has arrived.
    :raises NotSentError: when the connection was refused.
    :raises ResponseLostError: when the stream broke off.
    """
    try:
        connection = await SocketStream.connect(address, _CONNECT_SECONDS)
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
            raise h11.RemoteProtocolError('the stream broke off')


def _whole_text(body: bytes) -> str:
    choice = json.loads(body)['choices'][0]
    if 'message' in choice:
        return str(choice['message']['content'])
    return str(choice['text'])


def _stream_text(body: bytes) -> str:
    splitter = EventSplitter()
    events = splitter.feed(body)
    if splitter.pending or events[-1].data != _END:
        raise ValueError('a complete stream without its end marker')
    return ''.join(_chunk_text(event.data) for event in events[:-1])


def _chunk_text(data: str) -> str:
    choice = json.loads(data)['choices'][0]
    if 'delta' in choice:
        return str(choice['delta']['content'])
    return str(choice['text'])


async def compare_journals(
    callers: Sequence[Caller], control_addresses: Sequence[str]
) -> None:
    """Count in the tallies what the journals of the targets contradict."""
    keys: Counter[str] = Counter()
    digests: Counter[str] = Counter()
    for address in control_addresses:
        answer = await fetch(address, 'GET', '/journal', timeout_seconds=30)
        for entry in json.loads(answer.body)['writes']:
            keys[entry['key']] += entry['key'] is not None
            digests[entry['digest']] += 1
    for caller in callers:
        for call in _journalled(caller):
            runs = keys[call.key] if call.key else digests[call.digest]
            _compare(caller, call, runs)


def _journalled(caller: Caller) -> Iterator[CheckedRequest]:
    """Return the calls that the journals list with their content."""
    return (call for call in caller.calls if call.method != 'GET')


def _compare(caller: Caller, call: CheckedRequest, runs_count: int) -> None:
    statistics = caller.statistics
    if call.text in caller.answered_texts and not runs_count:
        statistics.unexecuted_responses += 1
    if call.text in caller.not_executed_texts and runs_count:
        statistics.false_rejections += 1
    if call.key is None:
        statistics.repeated_runs += max(0, runs_count - 1)
    elif runs_count > 1:
        statistics.duplicate_runs += 1
        statistics.problems.append(f'{call.text}: ran {runs_count} times')
