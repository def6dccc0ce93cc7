"""In-memory platform services with fault injection."""

from collections import defaultdict
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from dotterelhatch.backing.interfaces import (
    Clock,
    HostEntry,
    PlatformError,
    RateLimited,
    Row,
    Sleep,
    StoreUnavailable,
    WeightsInfo,
    WriteConflict,
    WriteOutcomeUnknown,
)

__all__ = (
    'Faults',
    'MemoryHostList',
    'MemoryObjectStore',
    'MemoryTableService',
    'MemoryWeightStore',
)

# Bounds the memory use when the host list is replaced often.
_MAX_HISTORY_COUNT: Final = 256


@dataclass(slots=True)
class Faults:
    """Injected faults of a service; they can change while it is in use.

    :param down: every call fails without effect.
    :param slow_seconds: delay before a call takes effect.
    :param lose_write_answers: writes take effect but their responses are lost.
    :param hold_writes: the response to a table write is lost and the write
        takes effect only when ``release_held_writes`` is called.
    :param calls_per_second: rate limit, None for no limit.
    :param lag_seconds: age of the host list that is returned.
    """

    down: bool = False
    slow_seconds: float = 0
    lose_write_answers: bool = False
    hold_writes: bool = False
    calls_per_second: float | None = None
    lag_seconds: float = 0


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket with a capacity of one second's tokens, at least one."""

    clock: Clock
    tokens_count: float | None = None
    updated_at_seconds: float = 0

    def take(self, rate: float) -> float:
        """Take a token.

        :returns: seconds until a token is available, 0 if one was taken.
        """
        now_seconds = self.clock()
        burst = max(1.0, rate)
        if self.tokens_count is None:
            self.tokens_count = burst
        elapsed_seconds = max(0, now_seconds - self.updated_at_seconds)
        self.tokens_count = min(
            burst, self.tokens_count + elapsed_seconds * rate
        )
        self.updated_at_seconds = now_seconds
        if self.tokens_count < 1:
            return (1 - self.tokens_count) / rate
        self.tokens_count -= 1
        return 0


class _Service:
    """Base class that injects the faults common to all services."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Create the service, without faults by default."""
        self.faults = faults or Faults()
        self._clock = clock
        self._sleep = sleep
        self._bucket = _TokenBucket(clock)

    async def _inject_faults(self) -> None:
        if self.faults.slow_seconds:
            await self._sleep(self.faults.slow_seconds)
        if self.faults.down:
            raise StoreUnavailable('the service is unavailable')
        if self.faults.calls_per_second is not None:
            wait_seconds = self._bucket.take(self.faults.calls_per_second)
            if wait_seconds:
                self._raise_rate_limited(wait_seconds)

    def _raise_rate_limited(self, wait_seconds: float) -> None:
        raise StoreUnavailable(
            f'rate limit reached; retry after {wait_seconds} s'
        )


@dataclass(frozen=True, slots=True)
class _TableWrite:
    """A conditional write, or a delete if ``content`` is None."""

    table: str
    key: str
    content: bytes | None
    expected_revision: int


@dataclass(slots=True)
class _Table:
    """Rows of a table and the highest revision of its deleted rows.

    A single number per table ensures that no revision of a deleted row is
    used again, without storing every deleted key.
    """

    rows: dict[str, Row] = field(default_factory=dict)
    deleted_revision: int = 0

    def apply(self, write: _TableWrite) -> Row | None:
        """Apply a write and return the stored row, None after a delete.

        :raises WriteConflict: if the stored revision is another one.
        """
        current = self.rows.get(write.key)
        revision = current.revision if current else 0
        if revision != write.expected_revision:
            raise WriteConflict(current)
        if write.content is None:
            self.deleted_revision = max(self.deleted_revision, revision)
            self.rows.pop(write.key, None)
            return None
        next_revision = (revision or self.deleted_revision) + 1
        row = Row(write.key, write.content, next_revision)
        self.rows[write.key] = row
        return row


class MemoryTableService(_Service):
    """In-memory table service."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start without rows."""
        super().__init__(clock, sleep, faults)
        self._tables: defaultdict[str, _Table] = defaultdict(_Table)
        self._held_writes: list[_TableWrite] = []

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row or None."""
        await self._inject_faults()
        return self._tables[table].rows.get(key)

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write a row if it has the expected revision (0: no row)."""
        row = await self._apply_write(
            _TableWrite(table, key, bytes(content), expected_revision)
        )
        if row is None:
            raise StoreUnavailable('the write returned no row')
        return row

    async def delete(
        self, table: str, key: str, expected_revision: int
    ) -> None:
        """Delete a row if it has the expected revision."""
        await self._apply_write(
            _TableWrite(table, key, None, expected_revision)
        )

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit_count: int | None = None,
    ) -> Sequence[Row]:
        """Return the rows whose key starts with a prefix, in key order."""
        await self._inject_faults()
        rows = self._tables[table].rows
        keys = sorted(
            key for key in rows if key.startswith(prefix) and key > after
        )
        return [rows[key] for key in keys[:limit_count]]

    def release_held_writes(self) -> None:
        """Apply the held writes whose expected revision still matches."""
        while self._held_writes:
            write = self._held_writes.pop(0)
            with suppress(WriteConflict):
                self._tables[write.table].apply(write)

    async def _apply_write(self, write: _TableWrite) -> Row | None:
        await self._inject_faults()
        if self.faults.hold_writes:
            self._held_writes.append(write)
            raise WriteOutcomeUnknown('the response was lost')
        row = self._tables[write.table].apply(write)
        if self.faults.lose_write_answers:
            raise WriteOutcomeUnknown('the response was lost')
        return row


class MemoryObjectStore(_Service):
    """In-memory object store."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start without objects."""
        super().__init__(clock, sleep, faults)
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing the same bytes again has no effect."""
        await self._inject_faults()
        if self._objects.setdefault(name, bytes(content)) != content:
            raise PlatformError(
                f'object {name} already exists with different content'
            )
        if self.faults.lose_write_answers:
            raise StoreUnavailable('the response was lost')

    async def get(self, name: str) -> bytes | None:
        """Return an object or None."""
        await self._inject_faults()
        return self._objects.get(name)


@dataclass(frozen=True, slots=True)
class _HostListVersion:
    set_at_seconds: float
    hosts: tuple[HostEntry, ...]


class MemoryHostList(_Service):
    """In-memory host list; readers see changes after a delay."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start with an empty list."""
        super().__init__(clock, sleep, faults)
        self._history: list[_HostListVersion] = []

    def set_hosts(self, hosts: Sequence[HostEntry]) -> None:
        """Replace the list; readers see it after ``lag_seconds``."""
        self._history.append(_HostListVersion(self._clock(), tuple(hosts)))
        del self._history[:-_MAX_HISTORY_COUNT]

    async def read_hosts(self) -> Sequence[HostEntry]:
        """Return the list as it was ``lag_seconds`` ago."""
        await self._inject_faults()
        newest_visible_seconds = self._clock() - self.faults.lag_seconds
        visible: tuple[HostEntry, ...] = ()
        for entry in self._history:
            if entry.set_at_seconds <= newest_visible_seconds:
                visible = entry.hosts
        return visible


class MemoryWeightStore(_Service):
    """In-memory store of weight descriptions."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start without weights."""
        super().__init__(clock, sleep, faults)
        self._infos: dict[tuple[str, str], WeightsInfo] = {}

    def add(self, info: WeightsInfo) -> None:
        """Add the description of a version of a model's weights."""
        self._infos[(info.model, info.version)] = info

    async def describe(self, model: str, version: str) -> WeightsInfo | None:
        """Return the description or None."""
        await self._inject_faults()
        return self._infos.get((model, version))

    def _raise_rate_limited(self, wait_seconds: float) -> None:
        raise RateLimited(wait_seconds)
