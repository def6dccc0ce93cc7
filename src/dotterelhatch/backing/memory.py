"""The platform's services in memory, with faults that can be switched."""

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

# Bounds the memory of a host list that is replaced often.
_HISTORY_COUNT: Final = 256


@dataclass(slots=True)
class Faults:
    """Faults of one service, changed in place while it is in use.

    :param down: every call is refused without effect.
    :param slow_seconds: waiting time before a call takes effect.
    :param lose_write_answers: writes take effect and the answer is lost.
    :param hold_writes: the answer to a table write is lost and the write
        takes effect when ``release_held_writes`` is called.
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
class _Bucket:
    """Token bucket whose burst is what one second admits, at least one."""

    clock: Clock
    level: float | None = None
    filled_at_seconds: float = 0

    def take(self, rate: float) -> float:
        """Take a token; return the seconds to wait, 0 when it was taken."""
        now = self.clock()
        burst = max(1.0, rate)
        if self.level is None:
            self.level = burst
        elapsed = max(0, now - self.filled_at_seconds)
        self.level = min(burst, self.level + elapsed * rate)
        self.filled_at_seconds = now
        if self.level < 1:
            return (1 - self.level) / rate
        self.level -= 1
        return 0


class _Service:
    """Applies the faults that all services share."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Keep the sources of time and the switchable faults."""
        self.faults = faults or Faults()
        self._clock = clock
        self._sleep = sleep
        self._bucket = _Bucket(clock)

    async def _enter(self) -> None:
        if self.faults.slow_seconds:
            await self._sleep(self.faults.slow_seconds)
        if self.faults.down:
            raise StoreUnavailable('the service is down')
        if self.faults.calls_per_second is not None:
            wait_seconds = self._bucket.take(self.faults.calls_per_second)
            if wait_seconds:
                self._refuse_rate(wait_seconds)

    def _refuse_rate(self, wait_seconds: float) -> None:
        raise StoreUnavailable(f'rate limited for {wait_seconds} s')


@dataclass(frozen=True, slots=True)
class _TableWrite:
    """A write or, with content None, a delete."""

    table: str
    key: str
    content: bytes | None
    expected_revision: int


@dataclass(slots=True)
class _Table:
    """Rows of one table and the highest revision of its deleted rows.

    One number for the table keeps revisions from repeating without
    remembering every deleted key.
    """

    rows: dict[str, Row] = field(default_factory=dict)
    deleted_revision: int = 0

    def apply(self, change: _TableWrite) -> Row | None:
        """Apply a write on its condition and return the stored row."""
        current = self.rows.get(change.key)
        revision = current.revision if current else 0
        if revision != change.expected_revision:
            raise WriteConflict(current)
        if change.content is None:
            self.deleted_revision = max(self.deleted_revision, revision)
            self.rows.pop(change.key, None)
            return None
        next_revision = (revision or self.deleted_revision) + 1
        row = Row(change.key, change.content, next_revision)
        self.rows[change.key] = row
        return row


class MemoryTableService(_Service):
    """Table service in memory."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start without rows."""
        super().__init__(clock, sleep, faults)
        self._tables: defaultdict[str, _Table] = defaultdict(_Table)
        self._held: list[_TableWrite] = []

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row or None."""
        await self._enter()
        return self._tables[table].rows.get(key)

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write a row if its revision is the expected one (0: no row)."""
        row = await self._change(
            _TableWrite(table, key, bytes(content), expected_revision)
        )
        if row is None:
            raise StoreUnavailable('the write returned no row')
        return row

    async def delete(
        self, table: str, key: str, expected_revision: int
    ) -> None:
        """Delete a row if its revision is the expected one."""
        await self._change(_TableWrite(table, key, None, expected_revision))

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit_count: int | None = None,
    ) -> Sequence[Row]:
        """Return the rows whose key starts with a prefix, in key order."""
        await self._enter()
        rows = self._tables[table].rows
        keys = sorted(
            key for key in rows if key.startswith(prefix) and key > after
        )
        return [rows[key] for key in keys[:limit_count]]

    def release_held_writes(self) -> None:
        """Apply the held writes whose condition still holds."""
        while self._held:
            change = self._held.pop(0)
            with suppress(WriteConflict):
                self._tables[change.table].apply(change)

    async def _change(self, change: _TableWrite) -> Row | None:
        await self._enter()
        if self.faults.hold_writes:
            self._held.append(change)
            raise WriteOutcomeUnknown('the answer was lost')
        row = self._tables[change.table].apply(change)
        if self.faults.lose_write_answers:
            raise WriteOutcomeUnknown('the answer was lost')
        return row


class MemoryObjectStore(_Service):
    """Object store in memory."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start without objects."""
        super().__init__(clock, sleep, faults)
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing the same bytes again is harmless."""
        await self._enter()
        if self._objects.setdefault(name, bytes(content)) != content:
            raise PlatformError(f'object {name} exists with other content')
        if self.faults.lose_write_answers:
            raise StoreUnavailable('the answer was lost')

    async def get(self, name: str) -> bytes | None:
        """Return an object or None."""
        await self._enter()
        return self._objects.get(name)


@dataclass(frozen=True, slots=True)
class _HostSnapshot:
    set_at_seconds: float
    hosts: tuple[HostEntry, ...]


class MemoryHostList(_Service):
    """Host list in memory that lags behind what was set."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start with an empty list."""
        super().__init__(clock, sleep, faults)
        self._history: list[_HostSnapshot] = []

    def set_hosts(self, hosts: Sequence[HostEntry]) -> None:
        """Replace the list; readers see it after the lag."""
        self._history.append(_HostSnapshot(self._clock(), tuple(hosts)))
        del self._history[:-_HISTORY_COUNT]

    async def read_hosts(self) -> Sequence[HostEntry]:
        """Return the list as it was ``lag_seconds`` ago."""
        await self._enter()
        visible_until = self._clock() - self.faults.lag_seconds
        visible: tuple[HostEntry, ...] = ()
        for snapshot in self._history:
            if snapshot.set_at_seconds <= visible_until:
                visible = snapshot.hosts
        return visible


class MemoryWeightStore(_Service):
    """Weight store in memory."""

    def __init__(
        self, clock: Clock, sleep: Sleep, faults: Faults | None = None
    ) -> None:
        """Start without weights."""
        super().__init__(clock, sleep, faults)
        self._infos: dict[tuple[str, str], WeightsInfo] = {}

    def add(self, info: WeightsInfo) -> None:
        """List a version of a model's weights."""
        self._infos[(info.model, info.version)] = info

    async def describe(self, model: str, version: str) -> WeightsInfo | None:
        """Return the description or None."""
        await self._enter()
        return self._infos.get((model, version))

    def _refuse_rate(self, wait_seconds: float) -> None:
        raise RateLimited(wait_seconds)
