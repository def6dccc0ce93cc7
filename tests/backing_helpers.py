"""Runs asynchronous tests, optionally on each platform implementation."""

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
from standins.platform import FaultSettings, PlatformStandIn

Test = Callable[..., Coroutine[Any, Any, None]]

# Time-out for calls that get a response; never reached in a passing test.
LONG_TIMEOUT_SECONDS = 30


@dataclass
class Platform:
    """The four platform services and the stand-in that stores their data."""

    tables: Any
    objects: Any
    hosts: Any
    weights: Any
    stand_in: PlatformStandIn
    time: SimpleNamespace = field(repr=False)

    def set_faults(self, **faults: object) -> None:
        """Replace the active faults."""
        self.stand_in.apply_faults(FaultSettings.model_validate(faults))


@contextlib.asynccontextmanager
async def memory() -> AsyncIterator[Platform]:
    """Open the in-memory services."""
    time = SimpleNamespace(now_seconds=1000.0)
    stand_in = PlatformStandIn(clock=lambda: time.now_seconds)
    yield Platform(
        stand_in.tables,
        stand_in.objects,
        stand_in.hosts,
        stand_in.weights,
        stand_in,
        time,
    )


@contextlib.asynccontextmanager
async def http() -> AsyncIterator[Platform]:
    """Open the services over HTTP."""
    time = SimpleNamespace(now_seconds=1000.0)
    async with (
        PlatformStandIn(clock=lambda: time.now_seconds) as stand_in,
        HttpTableService(stand_in.url, LONG_TIMEOUT_SECONDS) as tables,
        HttpObjectStore(stand_in.url, LONG_TIMEOUT_SECONDS) as objects,
        HttpHostList(stand_in.url, LONG_TIMEOUT_SECONDS) as hosts,
        HttpWeightStore(stand_in.url, LONG_TIMEOUT_SECONDS) as weights,
    ):
        yield Platform(tables, objects, hosts, weights, stand_in, time)


def in_curio(body: Test) -> Callable[..., None]:
    """Decorate an asynchronous test to run in a curio kernel."""

    @functools.wraps(body)
    def test(**arguments: Any) -> None:
        curio.run(functools.partial(body, **arguments))

    return test


def on_each_platform(body: Test) -> Callable[..., None]:
    """Decorate a test to run once per implementation.

    Its argument ``platform`` is the opened ``Platform``.
    """

    @pytest.mark.parametrize('platform', [memory, http])
    @in_curio
    @functools.wraps(body)
    async def test(platform: Any, **arguments: Any) -> None:
        async with platform() as opened:
            await body(opened, **arguments)

    return test
