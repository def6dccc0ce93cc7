"""Stores with scripted faults, and coroutines that tests advance."""

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
    """Give control back to the test."""
    yield


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


class ScriptedTables:
    """Pauses before and after each call and applies a script of faults.

    ``down``: no effect; ``lost``: effect, no answer; ``void``: neither;
    ``late``: no answer, effect on ``release_held_writes``; ``ok``.
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
        """Make one call with the next fault of the script."""
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
class World:
    """The platform, a clock and the lifetimes of routers that are running."""

    now_seconds: float = 1_000_000.0
    live: set[tuple[str, int]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.tables = MemoryTableService(self.clock, pause)
        self.objects = MemoryObjectStore(self.clock, pause)

    def clock(self) -> float:
        """Return the time."""
        return self.now_seconds

    async def sleep(self, seconds: float) -> None:
        """Pass the time."""
        self.now_seconds += seconds
        await pause()

    def router(
        self, name: str, *script: str, incarnation: int = 1, **policy: Any
    ) -> tuple[ClaimStore, ScriptedTables]:
        """Start a lifetime of a router with a script of faults."""
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
            Identity(owner, lambda *lifetime: lifetime in self.live),
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
