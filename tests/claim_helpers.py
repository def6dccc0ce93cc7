"""Stores with scripted faults, and a driver for coroutines, for tests."""

import random
import types
from collections.abc import Coroutine, Generator
from dataclasses import dataclass, field
from typing import Any

from dotterelhatch.claimstore import ClaimStore
from dotterelhatch.core.claims import (
    ClaimOwner,
    ClaimPolicy,
    ClaimToken,
    Identity,
    StoredClaim,
)
from dotterelhatch.ids import (
    Fingerprint,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
)
from dotterelhatch.backing.interfaces import (
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from dotterelhatch.backing.memory import MemoryObjectStore, MemoryTableService


@types.coroutine
def pause(_seconds: float = 0) -> Generator[None, None, None]:
    """Suspend the coroutine until the test sends to it."""
    yield


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


class ScriptedTables:
    """Table service that suspends around each call and injects faults.

    Each call takes the next fault of the script: ``ok``; ``down``:
    unavailable, no effect; ``lost``: takes effect, the response is lost;
    ``void``: no effect, the outcome is unknown; ``late``: the response is
    lost, takes effect on ``release_held_writes``.
    """

    def __init__(self, inner: MemoryTableService, *script: str) -> None:
        self.inner = inner
        self.script = list(script)
        self.default = 'ok'

    def __getattr__(self, name: str) -> Any:
        async def call(*args: Any, **options: Any) -> Any:
            await pause()
            try:
                return await self.apply(name, args, options)
            finally:
                await pause()

        return call

    async def apply(self, name: str, args: Any, options: Any) -> Any:
        """Make a call with the next fault of the script."""
        fault = self.script.pop(0) if self.script else self.default
        is_write = name in {'write', 'delete'}
        if fault == 'down' or (fault != 'ok' and not is_write):
            raise StoreUnavailable(fault)
        if fault == 'void':
            raise WriteOutcomeUnknown(fault)
        self.inner.faults.hold_writes = fault == 'late'
        self.inner.faults.lose_write_answers = fault == 'lost'
        try:
            return await getattr(self.inner, name)(*args, **options)
        finally:
            self.inner.faults.hold_writes = False
            self.inner.faults.lose_write_answers = False


@dataclass
class ClaimEnvironment:
    """The platform services, a clock and the incarnations that are live."""

    now_seconds: float = 1_000_000.0
    live: set[tuple[str, int]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.tables = MemoryTableService(self.clock, pause)
        self.objects = MemoryObjectStore(self.clock, pause)

    def clock(self) -> float:
        """Return the time."""
        return self.now_seconds

    async def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self.now_seconds += seconds
        await pause()

    def router(
        self, name: str, *script: str, incarnation: int = 1, **policy: Any
    ) -> tuple[ClaimStore, ScriptedTables]:
        """Start an incarnation of a router with a script of faults."""
        self.live.add((name, incarnation))
        tables = ScriptedTables(self.tables, *script)
        owner = ClaimOwner(
            router_id=RouterId(name), incarnation=Incarnation(incarnation)
        )
        store = ClaimStore(
            tables,
            self.objects,
            self.clock,
            self.sleep,
            Identity(owner, lambda *process: process in self.live),
            random.Random(0),
            ClaimPolicy(**policy),
        )
        return store, tables

    def stored(self, key: str) -> StoredClaim | None:
        """Return the row of a key."""
        row = run(self.tables.read('claims', f'o/s/{key}'))
        return row and StoredClaim.decode(row.content, row.revision)

    def state(self, key: str = 'k') -> str | None:
        """Return the state in the row of a key."""
        stored = self.stored(key)
        return stored and stored.row.state.value


def begin(
    store: ClaimStore, token: str, key: str = 'k', body: str = 'b'
) -> Coroutine[Any, Any, Any]:
    """Call ``begin`` for one organisation and service."""
    return store.begin(
        OrganisationId('o'),
        ServiceId('s'),
        key,
        Fingerprint(body),
        ClaimToken(token),
    )
