"""Runs asynchronous tests, also once for each platform implementation."""

import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import curio
import pytest

from dotterelhatch.backing.http import (
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
    HttpWeightStore,
)
from standins.platform import FaultOrder, PlatformStandIn

Test = Callable[..., Coroutine[Any, Any, None]]

# Long enough that no answer that does come is ever late.
AMPLE_SECONDS = 30


@dataclass
class Platform:
    """The four services and the stand-in that holds their content."""

    tables: Any
    objects: Any
    hosts: Any
    weights: Any
    back: PlatformStandIn
    time: SimpleNamespace = field(repr=False)

    def fault(self, **faults: object) -> None:
        """Replace the faults in force."""
        self.back.apply(FaultOrder.model_validate(faults))


@contextlib.asynccontextmanager
async def memory() -> AsyncIterator[Platform]:
    """Open the services in memory."""
    time = SimpleNamespace(now_seconds=1000.0)
    back = PlatformStandIn(clock=lambda: time.now_seconds)
    yield Platform(
        back.tables, back.objects, back.hosts, back.weights, back, time
    )


@contextlib.asynccontextmanager
async def http() -> AsyncIterator[Platform]:
    """Open the services over HTTP."""
    time = SimpleNamespace(now_seconds=1000.0)
    async with (
        PlatformStandIn(clock=lambda: time.now_seconds) as back,
        HttpTableService(back.url, AMPLE_SECONDS) as tables,
        HttpObjectStore(back.url, AMPLE_SECONDS) as objects,
        HttpHostList(back.url, AMPLE_SECONDS) as hosts,
        HttpWeightStore(back.url, AMPLE_SECONDS) as weights,
    ):
        yield Platform(tables, objects, hosts, weights, back, time)


def in_curio(body: Test) -> Callable[..., None]:
    """Run a test in a curio kernel."""

    @functools.wraps(body)
    def test(**arguments: Any) -> None:
        curio.run(functools.partial(body, **arguments))

    return test


def on_each(body: Test) -> Callable[..., None]:
    """Run a test on each implementation, as its argument ``platform``."""

    @pytest.mark.parametrize('platform', [memory, http])
    @in_curio
    @functools.wraps(body)
    async def test(platform: Any, **arguments: Any) -> None:
        async with platform() as opened:
            await body(opened, **arguments)

    return test
