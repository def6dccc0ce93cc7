"""Model engine with continuous batching, chunked prefill and prefix cache."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

__all__ = ('Engine', 'EngineRequest')

# From the specification of the users' engines.
STEP_SECONDS: Final = 0.00309
STEP_SECONDS_PER_REQUEST: Final = 0.000102
PREFILL_TOKENS_PER_SECOND: Final = 56_900.0
FIRST_TOKEN_SECONDS: Final = 0.013
CHUNK_TOKENS: Final = 1024
SLOTS_COUNT: Final = 64
MEMORY_TOKENS: Final = 289_119


@dataclass
class EngineRequest:
    """A request at an engine.

    :param parts: id and token count of each part of its prompt, in order.
    :param unread_tokens: prompt tokens still to be prefilled.
    :param first_token_seconds: time of its first token, None before.
    :param end_seconds: time of its last token, None before.
    """

    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    unread_tokens: int = 0
    generated_tokens: int = 0
    first_token_seconds: float | None = None
    end_seconds: float | None = None

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the request has in memory at its end."""
        return sum(tokens for _, tokens in self.parts) + self.output_tokens


@dataclass
class Engine:
    """Model engine that starts requests in order of arrival.

    Each step prefills up to one chunk and generates a token for each request
    whose prompt has been read.

    :param step_time_factor: multiplies the duration of every step.
    :param memory_tokens: capacity of its memory.
    :param grows: whether requests start as soon as their prompt has room, with
        shared parts in memory once. Otherwise each of them starts when all that
        it needs by its end has room.
    """

    step_time_factor: float = 1.0
    memory_tokens: int = MEMORY_TOKENS
    grows: bool = False
    preemptions_count: int = 0
    now_seconds: float = 0.0
    waiting: deque[EngineRequest] = field(default_factory=deque)
    running: list[EngineRequest] = field(default_factory=list)
    prefilled_tokens: int = 0
    _cached_prefixes: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def submit(self, request: EngineRequest, now_seconds: float) -> None:
        """Add a request to the queue."""
        if not self.waiting and not self.running:
            self.now_seconds = max(self.now_seconds, now_seconds)
        self.waiting.append(request)

    def advance(self, until_seconds: float) -> None:
        """Run steps until a time or until no request is left."""
        while self.now_seconds < until_seconds:
            self._admit()
            if not self.running:
                self.now_seconds = until_seconds
                return
            self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < SLOTS_COUNT:
            request = self.waiting[0]
            if not self._has_room(request):
                return
            self.waiting.popleft()
            request.unread_tokens = self._count_unread(request)
            request.unread_tokens += request.generated_tokens
            self.running.append(request)

    def _has_room(self, request: EngineRequest) -> bool:
        if self.grows:
            used = self._used_tokens((*self.running, request))
            return not self.running or used <= self.memory_tokens
        used = sum(active.memory_tokens for active in self.running)
        return used + request.memory_tokens <= self.memory_tokens

    def _used_tokens(self, requests: Iterable[EngineRequest]) -> int:
        """Return the memory of requests, with shared parts once."""
        parts: dict[str, int] = {}
        generated = 0
        for request in requests:
            parts.update(request.parts)
            generated += request.generated_tokens
        return sum(parts.values()) + generated

    def _preempt_newest(self) -> None:
        """Stop requests whose answers no longer fit; they are read again."""
        while (
            len(self.running) > 1
            and self._used_tokens(self.running) > self.memory_tokens
        ):
            self.waiting.appendleft(self.running.pop())
            self.preemptions_count += 1

    def _count_unread(self, request: EngineRequest) -> int:
        total = sum(tokens for _, tokens in request.parts)
        prefix = ''
        for name, tokens in request.parts:
            prefix = f'{prefix}/{name}'
            if prefix not in self._cached_prefixes:
                break
            total -= tokens
        return total

    def _step(self) -> None:
        budget = CHUNK_TOKENS
        seconds = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(self.running)
        for request in self.running:
            taken = min(budget, request.unread_tokens)
            request.unread_tokens -= taken
            budget -= taken
        prefilled = CHUNK_TOKENS - budget
        self.prefilled_tokens += prefilled
        seconds += prefilled / PREFILL_TOKENS_PER_SECOND
        self.now_seconds += seconds * self.step_time_factor
        for request in tuple(self.running):
            if not request.unread_tokens:
                self._generate(request)
        if self.grows:
            self._preempt_newest()

    def _generate(self, request: EngineRequest) -> None:
        if request.first_token_seconds is None:
            request.first_token_seconds = self.now_seconds + FIRST_TOKEN_SECONDS
            self._cache_prompt(request)
        request.generated_tokens += 1
        if request.generated_tokens >= request.output_tokens:
            request.end_seconds = self.now_seconds
            self.running.remove(request)

    def _cache_prompt(self, request: EngineRequest) -> None:
        prefix = ''
        for name, tokens in request.parts:
            prefix = f'{prefix}/{name}'
            self._cached_prefixes.pop(prefix, None)
            self._cached_prefixes[prefix] = tokens
        used = (
            self._used_tokens(self.running)
            if self.grows
            else sum(active.memory_tokens for active in self.running)
        )
        total = sum(self._cached_prefixes.values())
        while self._cached_prefixes and total > self.memory_tokens - used:
            total -= self._cached_prefixes.popitem(last=False)[1]
