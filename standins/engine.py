"""Simulated model engine with continuous batching and a prefix cache."""

import hashlib
import json
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Annotated, Any, Final

import curio
import typer

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.net.http import DisconnectError, ServerExchange
from standins.common import (
    JournalEntry,
    TargetStandIn,
    parse_object,
    run_until_stopped,
)

__all__ = ('Engine', 'EngineOptions')

_PATHS: Final = ('/v1/completions', '/v1/chat/completions')
_MAX_TOKENS_COUNT: Final = 100_000
_DEFAULT_MAX_TOKENS_COUNT: Final = 256
_CACHE_BLOCK_TOKENS_COUNT: Final = 16
# A full batch increases the step time of a single request by this ratio.
_FULL_BATCH_SLOWDOWN_RATIO: Final = 0.5


@dataclass(frozen=True)
class EngineOptions:
    """Speed and capacity of the simulated engine.

    :param slots: size of a full batch.
    :param tokens_per_second: decode speed of a single running request.
    :param prefill_tokens_per_second: for the prompt tokens not in the cache.
    :param cache_blocks_count: size of the prefix cache in blocks of 16 tokens.
    :param mean_tokens: mean of the random output length.
    :param load_lag_seconds: age of the reported load.
    :param seed: of the random output lengths.
    """

    slots: int = 8
    tokens_per_second: float = 30.0
    prefill_tokens_per_second: float = 4000.0
    cache_blocks_count: int = 4096
    mean_tokens: float = 120.0
    load_lag_seconds: float = 1.0
    seed: int = 1


@dataclass(eq=False)
class _Sequence:
    """One request in the batch.

    :param tokens: queue of the produced token numbers; None after the caller
        disconnected.
    """

    tokens_count: int
    produced_count: int = 0
    tokens: Any = field(default_factory=curio.Queue)
    disconnected: Any = field(default_factory=curio.Event)


@dataclass(frozen=True)
class _CompletionRequest:
    """A parsed completion request."""

    request_id: str
    model: str
    prompt: str
    chat: bool
    stream: bool
    tokens_count: int
    finish_reason: str

    @property
    def prompt_tokens(self) -> list[str]:
        """Return the words of the prompt, each of which counts as a token."""
        return self.prompt.split()

    def token_text(self, number: int) -> str:
        """Return a token text that identifies the prompt and the position."""
        digest = hashlib.sha256(self.prompt.encode()).hexdigest()
        return f'{digest[:8]}-{number} '


class _PrefixCache:
    """LRU cache of prompt prefixes in blocks of tokens."""

    def __init__(self, blocks_count: int) -> None:
        self._blocks_count = blocks_count
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def look_up_and_insert(self, tokens: list[str]) -> int:
        """Return the number of cached prompt tokens, then cache the prompt."""
        cached_count = 0
        is_cached = True
        digest = hashlib.sha256()
        whole_blocks_end = len(tokens) - len(tokens) % _CACHE_BLOCK_TOKENS_COUNT
        for start in range(0, whole_blocks_end, _CACHE_BLOCK_TOKENS_COUNT):
            end = start + _CACHE_BLOCK_TOKENS_COUNT
            digest.update(' '.join(tokens[start:end]).encode())
            block = digest.digest()
            is_cached = is_cached and block in self._blocks
            cached_count += _CACHE_BLOCK_TOKENS_COUNT if is_cached else 0
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._blocks_count:
            self._blocks.popitem(last=False)
        return cached_count


class Engine:
    """Runs all requests in one batch without a queue."""

    def __init__(self, options: EngineOptions) -> None:
        """Create an engine with an empty batch and cache."""
        self._options = options
        self._running: dict[_Sequence, None] = {}
        self._batch_filled = curio.Event()
        self._cache = _PrefixCache(options.cache_blocks_count)
        self._load_history: deque[tuple[float, int]] = deque(maxlen=4096)
        self._now_seconds = 0.0
        self._step_task: Any = None

    async def handle_request(
        self, stand_in: TargetStandIn, exchange: ServerExchange, body: bytes
    ) -> None:
        """Execute one completion request."""
        head = exchange.head
        if head.method != 'POST' or head.path not in _PATHS:
            raise DotterelhatchError(ErrorKind.NOT_FOUND, head.path)
        request = self._parse(exchange, parse_object(body))
        digest = hashlib.sha256(body).hexdigest()
        entry = JournalEntry(exchange, digest, stand_in.instance)
        stand_in.journal.begin(entry)
        try:
            await self._generate(stand_in, exchange, request)
        except BaseException:
            entry.outcome = 'cancelled'
            raise
        entry.outcome = 'complete'

    def report_load(self) -> dict[str, Any]:
        """Return the load of ``load_lag_seconds`` ago."""
        now_seconds = self._now_seconds
        report_seconds = now_seconds - self._options.load_lag_seconds
        latest = (0.0, 0)
        for sample in self._load_history:
            if sample[0] > report_seconds:
                break
            latest = sample
        return {
            'running_count': latest[1],
            'slots_count': self._options.slots,
            'lag_seconds': self._options.load_lag_seconds,
        }

    def _parse(
        self, exchange: ServerExchange, document: dict[str, Any]
    ) -> _CompletionRequest:
        chat = exchange.head.path.endswith('/chat/completions')
        request_id = exchange.head.header('X-Request-Id') or 'none'
        limit = _read_count(document, 'max_tokens') or _DEFAULT_MAX_TOKENS_COUNT
        requested_count = _read_count(
            document, 'emulated_tokens'
        ) or self._draw_output_length(request_id)
        return _CompletionRequest(
            request_id=request_id,
            model=str(document.get('model', 'simulated')),
            prompt=_read_prompt(document, chat=chat),
            chat=chat,
            stream=bool(document.get('stream', False)),
            tokens_count=min(limit, requested_count),
            finish_reason='stop' if requested_count <= limit else 'length',
        )

    def _draw_output_length(self, request_id: str) -> int:
        # Seeded by the request id: the length must not depend on the order of
        # arrival.
        rng = random.Random(f'{self._options.seed}:{request_id}')
        return 1 + int(rng.expovariate(1 / self._options.mean_tokens))

    async def _generate(
        self,
        stand_in: TargetStandIn,
        exchange: ServerExchange,
        request: _CompletionRequest,
    ) -> None:
        sequence = _Sequence(request.tokens_count)
        if self._step_task is None:
            self._step_task = await curio.spawn(
                self._run_steps, stand_in, daemon=True
            )
        watcher = await curio.spawn(
            _watch_disconnect, exchange, sequence, daemon=True
        )
        try:
            await self._prefill(stand_in, request)
            await self._add_to_batch(sequence)
            if request.stream:
                await _send_stream(stand_in, exchange, request, sequence)
            else:
                await _send_whole(stand_in, exchange, request, sequence)
        finally:
            await self._remove_from_batch(sequence)
            await watcher.cancel()

    async def _prefill(
        self, stand_in: TargetStandIn, request: _CompletionRequest
    ) -> None:
        tokens = request.prompt_tokens
        missing_count = len(tokens) - self._cache.look_up_and_insert(tokens)
        speed = self._options.prefill_tokens_per_second
        await curio.sleep(missing_count / speed * stand_in.faults.slow_factor)

    async def _add_to_batch(self, sequence: _Sequence) -> None:
        self._running[sequence] = None
        await self._record_load()
        await self._batch_filled.set()

    async def _remove_from_batch(self, sequence: _Sequence) -> None:
        self._running.pop(sequence, None)
        await self._record_load()

    async def _record_load(self) -> None:
        self._now_seconds = await curio.clock()
        self._load_history.append((self._now_seconds, len(self._running)))

    async def _run_steps(self, stand_in: TargetStandIn) -> None:
        due_seconds = await curio.clock()
        while True:
            if not self._running:
                self._batch_filled.clear()
                await self._batch_filled.wait()
                due_seconds = await curio.clock()
            step_seconds = self._step_seconds() * stand_in.faults.slow_factor
            due_seconds += step_seconds
            now_seconds = await curio.clock()
            await curio.sleep(max(0, due_seconds - now_seconds))
            # Steps missed while the process was paused are not made up for.
            due_seconds = max(due_seconds, now_seconds - step_seconds)
            await self._record_load()
            for sequence in tuple(self._running):
                await self._produce(sequence)

    def _step_seconds(self) -> float:
        occupancy = len(self._running) / self._options.slots
        slowdown = 1 + _FULL_BATCH_SLOWDOWN_RATIO * occupancy
        return slowdown * max(1, occupancy) / self._options.tokens_per_second

    async def _produce(self, sequence: _Sequence) -> None:
        await sequence.tokens.put(sequence.produced_count)
        sequence.produced_count += 1
        if sequence.produced_count >= sequence.tokens_count:
            self._running.pop(sequence, None)


async def _watch_disconnect(
    exchange: ServerExchange, sequence: _Sequence
) -> None:
    await exchange.wait_disconnect()
    await sequence.disconnected.set()
    await sequence.tokens.put(None)


async def _next_token(sequence: _Sequence) -> int:
    number = await sequence.tokens.get()
    if number is None:
        raise DisconnectError('the caller disconnected')
    return int(number)


async def _send_whole(
    stand_in: TargetStandIn,
    exchange: ServerExchange,
    request: _CompletionRequest,
    sequence: _Sequence,
) -> None:
    numbers = [
        await _next_token(sequence) for _ in range(sequence.tokens_count)
    ]
    await stand_in.hang_if_silent(exchange, sequence.disconnected.wait)
    token_text = ''.join(request.token_text(number) for number in numbers)
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': request.finish_reason,
    }
    if request.chat:
        choice['message'] = {'role': 'assistant', 'content': token_text}
    else:
        choice['text'] = token_text
    await stand_in.send_json(
        exchange,
        200,
        {**_envelope(request), 'choices': [choice], **_usage(request)},
    )


async def _send_stream(
    stand_in: TargetStandIn,
    exchange: ServerExchange,
    request: _CompletionRequest,
    sequence: _Sequence,
) -> None:
    headers = stand_in.echo_headers(exchange)
    is_truncated = stand_in.should_truncate()
    await exchange.start_stream(
        200, (('Content-Type', 'text/event-stream'), *headers)
    )
    for _ in range(sequence.tokens_count):
        number = await _next_token(sequence)
        await stand_in.hang_if_silent(exchange, sequence.disconnected.wait)
        if is_truncated and number >= sequence.tokens_count // 2:
            raise DisconnectError('response truncated by a fault')
        await exchange.send_chunk(_event(_chunk(request, number, sequence)))
    if not stand_in.faults.omit_marker:
        await exchange.send_chunk(b'data: [DONE]\n\n')
    await exchange.end_stream()


def _chunk(
    request: _CompletionRequest, number: int, sequence: _Sequence
) -> dict[str, Any]:
    is_last = number + 1 == sequence.tokens_count
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': request.finish_reason if is_last else None,
    }
    if request.chat:
        choice['delta'] = {'content': request.token_text(number)}
    else:
        choice['text'] = request.token_text(number)
    usage = _usage(request) if is_last else {}
    return {
        **_envelope(request),
        'chunk_id': number,
        'choices': [choice],
        **usage,
    }


def _event(document: dict[str, Any]) -> bytes:
    return f'data: {json.dumps(document)}\n\n'.encode()


def _envelope(request: _CompletionRequest) -> dict[str, Any]:
    return {
        'id': f'cmpl-{request.request_id}',
        'object': 'chat.completion' if request.chat else 'text_completion',
        'model': request.model,
    }


def _usage(request: _CompletionRequest) -> dict[str, Any]:
    prompt_count = len(request.prompt_tokens)
    return {
        'usage': {
            'prompt_tokens': prompt_count,
            'completion_tokens': request.tokens_count,
            'total_tokens': prompt_count + request.tokens_count,
        }
    }


def _read_count(document: dict[str, Any], name: str) -> int | None:
    number = document.get(name)
    if number is None:
        return None
    if not isinstance(number, int) or not 1 <= number <= _MAX_TOKENS_COUNT:
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST,
            f'{name} must be an integer from 1 to {_MAX_TOKENS_COUNT}',
        )
    return number


def _read_prompt(document: dict[str, Any], *, chat: bool) -> str:
    if not chat:
        return str(document.get('prompt', ''))
    messages = document.get('messages')
    if not isinstance(messages, list):
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST, 'messages must be a list'
        )
    return '\n'.join(
        str(message.get('content', ''))
        for message in messages
        if isinstance(message, dict)
    )


def main(
    port: Annotated[
        int, typer.Option(help='Service port; 0 selects a free one.')
    ] = 0,
    control_port: Annotated[
        int, typer.Option(help='Control port; 0 selects a free one.')
    ] = 0,
    slots: Annotated[int, typer.Option(help='Size of a full batch.')] = 8,
    tokens_per_second: Annotated[float, typer.Option()] = 30.0,
    prefill_tokens_per_second: Annotated[float, typer.Option()] = 4000.0,
    cache_blocks_count: Annotated[int, typer.Option()] = 4096,
    mean_tokens: Annotated[float, typer.Option()] = 120.0,
    load_lag_seconds: Annotated[float, typer.Option()] = 1.0,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Run a simulated model engine until SIGTERM."""
    engine = Engine(
        EngineOptions(
            slots=slots,
            tokens_per_second=tokens_per_second,
            prefill_tokens_per_second=prefill_tokens_per_second,
            cache_blocks_count=cache_blocks_count,
            mean_tokens=mean_tokens,
            load_lag_seconds=load_lag_seconds,
            seed=seed,
        )
    )
    stand_in = TargetStandIn(
        engine.handle_request, engine.report_load, port, control_port
    )
    curio.run(run_until_stopped, stand_in)


if __name__ == '__main__':
    typer.run(main)
