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
_DEFAULT_MAX_TOKENS: Final = 256
_CACHE_BLOCK_TOKENS: Final = 16
# Share of the step time that a full batch adds to that of one request.
_BATCH_SLOWDOWN: Final = 0.5


@dataclass(frozen=True)
class EngineOptions:
    """What the simulated engine is able to do.

    :param tokens_per_second: of a single running request.
    :param prefill_tokens_per_second: of the part of a prompt not in the cache.
    :param cache_blocks_count: prefix cache entries of 16 tokens.
    :param mean_tokens: mean of the drawn output length.
    :param load_lag_seconds: age of the load that is reported.
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
    """One running request; the queue holds token numbers, None for the end."""

    tokens_count: int
    produced_count: int = 0
    tokens: Any = field(default_factory=curio.Queue)
    gone: Any = field(default_factory=curio.Event)


@dataclass(frozen=True)
class _Job:
    """What the request asks for."""

    request_id: str
    model: str
    prompt: str
    chat: bool
    stream: bool
    tokens_count: int
    finish_reason: str

    @property
    def prompt_tokens(self) -> list[str]:
        """Return the words of the prompt, which count as tokens."""
        return self.prompt.split()

    def text(self, number: int) -> str:
        """Return a token that tells which prompt and position it is of."""
        digest = hashlib.sha256(self.prompt.encode()).hexdigest()
        return f'{digest[:8]}-{number} '


class _PrefixCache:
    """Least recently used prompt prefixes, in blocks."""

    def __init__(self, blocks_count: int) -> None:
        self._blocks_count = blocks_count
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def use(self, tokens: list[str]) -> int:
        """Return how many tokens were cached, and cache the prompt."""
        cached_count = 0
        hit = True
        digest = hashlib.sha256()
        whole = len(tokens) - len(tokens) % _CACHE_BLOCK_TOKENS
        for start in range(0, whole, _CACHE_BLOCK_TOKENS):
            stop = start + _CACHE_BLOCK_TOKENS
            digest.update(' '.join(tokens[start:stop]).encode())
            block = digest.digest()
            hit = hit and block in self._blocks
            cached_count += _CACHE_BLOCK_TOKENS if hit else 0
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._blocks_count:
            self._blocks.popitem(last=False)
        return cached_count


class Engine:
    """Runs all requests that arrive in one batch.

    :param options: speeds and sizes.
    """

    def __init__(self, options: EngineOptions) -> None:
        """Start with an empty batch."""
        self._options = options
        self._running: dict[_Sequence, None] = {}
        self._started = curio.Event()
        self._cache = _PrefixCache(options.cache_blocks_count)
        self._samples: deque[tuple[float, int]] = deque(maxlen=4096)
        self._now_seconds = 0.0
        self._stepper: Any = None

    async def handle_request(
        self, stand_in: TargetStandIn, exchange: ServerExchange, body: bytes
    ) -> None:
        """Run one request."""
        head = exchange.head
        if head.method != 'POST' or head.path not in _PATHS:
            raise DotterelhatchError(ErrorKind.NOT_FOUND, head.path)
        job = self._parse(exchange, parse_object(body))
        digest = hashlib.sha256(body).hexdigest()
        entry = JournalEntry(exchange, digest, stand_in.instance)
        stand_in.journal.begin(entry)
        try:
            await self._run(stand_in, exchange, job)
        except BaseException:
            entry.outcome = 'cancelled'
            raise
        entry.outcome = 'complete'

    def report_load(self) -> dict[str, Any]:
        """Return the load as it was some time ago."""
        now_seconds = self._now_seconds
        wanted_seconds = now_seconds - self._options.load_lag_seconds
        reported = (0.0, 0)
        for sample in self._samples:
            if sample[0] > wanted_seconds:
                break
            reported = sample
        return {
            'running_count': reported[1],
            'slots_count': self._options.slots,
            'lag_seconds': self._options.load_lag_seconds,
        }

    def _parse(
        self, exchange: ServerExchange, document: dict[str, Any]
    ) -> _Job:
        chat = exchange.head.path.endswith('/chat/completions')
        request_id = exchange.head.header('X-Request-Id') or 'none'
        limit = _count(document, 'max_tokens') or _DEFAULT_MAX_TOKENS
        wanted = _count(document, 'emulated_tokens') or self._draw(request_id)
        return _Job(
            request_id=request_id,
            model=str(document.get('model', 'simulated')),
            prompt=_prompt_of(document, chat=chat),
            chat=chat,
            stream=bool(document.get('stream', False)),
            tokens_count=min(limit, wanted),
            finish_reason='stop' if wanted <= limit else 'length',
        )

    def _draw(self, request_id: str) -> int:
        # Seeded by the request, so that the length does not depend on the
        # order of arrival.
        generator = random.Random(f'{self._options.seed}:{request_id}')
        return 1 + int(generator.expovariate(1 / self._options.mean_tokens))

    async def _run(
        self, stand_in: TargetStandIn, exchange: ServerExchange, job: _Job
    ) -> None:
        sequence = _Sequence(job.tokens_count)
        if self._stepper is None:
            self._stepper = await curio.spawn(
                self._step_always, stand_in, daemon=True
            )
        watcher = await curio.spawn(_watch, exchange, sequence, daemon=True)
        try:
            await self._prefill(stand_in, job)
            await self._enter(sequence)
            if job.stream:
                await _send_stream(stand_in, exchange, job, sequence)
            else:
                await _send_whole(stand_in, exchange, job, sequence)
        finally:
            await self._leave(sequence)
            await watcher.cancel()

    async def _prefill(self, stand_in: TargetStandIn, job: _Job) -> None:
        tokens = job.prompt_tokens
        missing_count = len(tokens) - self._cache.use(tokens)
        speed = self._options.prefill_tokens_per_second
        await curio.sleep(missing_count / speed * stand_in.faults.slow_factor)

    async def _enter(self, sequence: _Sequence) -> None:
        self._running[sequence] = None
        await self._sample()
        await self._started.set()

    async def _leave(self, sequence: _Sequence) -> None:
        self._running.pop(sequence, None)
        await self._sample()

    async def _sample(self) -> None:
        self._now_seconds = await curio.clock()
        self._samples.append((self._now_seconds, len(self._running)))

    async def _step_always(self, stand_in: TargetStandIn) -> None:
        due_seconds = await curio.clock()
        while True:
            if not self._running:
                self._started.clear()
                await self._started.wait()
                due_seconds = await curio.clock()
            step_seconds = self._step_seconds() * stand_in.faults.slow_factor
            due_seconds += step_seconds
            now_seconds = await curio.clock()
            await curio.sleep(max(0, due_seconds - now_seconds))
            # A process that was paused does not catch up on lost steps.
            due_seconds = max(due_seconds, now_seconds - step_seconds)
            await self._sample()
            for sequence in tuple(self._running):
                await self._produce(sequence)

    def _step_seconds(self) -> float:
        occupancy = len(self._running) / self._options.slots
        slowdown = 1 + _BATCH_SLOWDOWN * occupancy
        return slowdown * max(1, occupancy) / self._options.tokens_per_second

    async def _produce(self, sequence: _Sequence) -> None:
        await sequence.tokens.put(sequence.produced_count)
        sequence.produced_count += 1
        if sequence.produced_count >= sequence.tokens_count:
            self._running.pop(sequence, None)


async def _watch(exchange: ServerExchange, sequence: _Sequence) -> None:
    await exchange.wait_disconnect()
    await sequence.gone.set()
    await sequence.tokens.put(None)


async def _next_token(sequence: _Sequence) -> int:
    number = await sequence.tokens.get()
    if number is None:
        raise DisconnectError('the caller disconnected')
    return int(number)


async def _send_whole(
    stand_in: TargetStandIn,
    exchange: ServerExchange,
    job: _Job,
    sequence: _Sequence,
) -> None:
    numbers = [
        await _next_token(sequence) for _ in range(sequence.tokens_count)
    ]
    await stand_in.freeze_if_silent(exchange, sequence.gone.wait)
    text = ''.join(job.text(number) for number in numbers)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': job.finish_reason}
    if job.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    await stand_in.answer(
        exchange, 200, {**_envelope(job), 'choices': [choice], **_usage(job)}
    )


async def _send_stream(
    stand_in: TargetStandIn,
    exchange: ServerExchange,
    job: _Job,
    sequence: _Sequence,
) -> None:
    headers = stand_in.echo_headers(exchange)
    truncated = stand_in.draw_truncation()
    await exchange.start_stream(
        200, (('Content-Type', 'text/event-stream'), *headers)
    )
    for _ in range(sequence.tokens_count):
        number = await _next_token(sequence)
        await stand_in.freeze_if_silent(exchange, sequence.gone.wait)
        if truncated and number >= sequence.tokens_count // 2:
            raise DisconnectError('truncated by a fault')
        await exchange.send_chunk(_event(_chunk(job, number, sequence)))
    if not stand_in.faults.omit_marker:
        await exchange.send_chunk(b'data: [DONE]\n\n')
    await exchange.end_stream()


def _chunk(job: _Job, number: int, sequence: _Sequence) -> dict[str, Any]:
    last = number + 1 == sequence.tokens_count
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': job.finish_reason if last else None,
    }
    if job.chat:
        choice['delta'] = {'content': job.text(number)}
    else:
        choice['text'] = job.text(number)
    usage = _usage(job) if last else {}
    return {
        **_envelope(job),
        'chunk_id': number,
        'choices': [choice],
        **usage,
    }


def _event(document: dict[str, Any]) -> bytes:
    return f'data: {json.dumps(document)}\n\n'.encode()


def _envelope(job: _Job) -> dict[str, Any]:
    return {
        'id': f'cmpl-{job.request_id}',
        'object': 'chat.completion' if job.chat else 'text_completion',
        'model': job.model,
    }


def _usage(job: _Job) -> dict[str, Any]:
    prompt_count = len(job.prompt_tokens)
    return {
        'usage': {
            'prompt_tokens': prompt_count,
            'completion_tokens': job.tokens_count,
            'total_tokens': prompt_count + job.tokens_count,
        }
    }


def _count(document: dict[str, Any], name: str) -> int | None:
    number = document.get(name)
    if number is None:
        return None
    if not isinstance(number, int) or not 1 <= number <= _MAX_TOKENS_COUNT:
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST,
            f'{name} is not an integer from 1 to {_MAX_TOKENS_COUNT}',
        )
    return number


def _prompt_of(document: dict[str, Any], *, chat: bool) -> str:
    if not chat:
        return str(document.get('prompt', ''))
    messages = document.get('messages')
    if not isinstance(messages, list):
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST, 'messages is not a list'
        )
    return '\n'.join(
        str(message.get('content', ''))
        for message in messages
        if isinstance(message, dict)
    )


def main(
    port: Annotated[int, typer.Option(help='Service port.')] = 0,
    control_port: Annotated[int, typer.Option(help='Control port.')] = 0,
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
