"""Watching the store during changes, outages and restarts."""

import contextlib
import json
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

import curio
import pytest

from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.state import boottime_seconds
from dotterelhatch.ids import ServiceId
from dotterelhatch.net.http import HttpServer
from dotterelhatch.platform import feeds
from dotterelhatch.platform.feeds import (
    RouterDiscovery,
    StoreWatcher,
    aligned_poll_seconds,
    batch_delay_seconds,
    long_poll_seconds,
)
from dotterelhatch.platform.mirror import TableMirror
from dotterelhatch.platform.store import RowChange, RowsPage, Store
from dotterelhatch.platform.wire import PlatformWireFormat
from standins.row_store import RowStore, StoreFault
from tests.gateway_helpers import free_port, gateway_settings, run_async
from tests.test_platform_adapter import CONFIG, SERVER

LLM = ServiceId('llm')


@dataclass
class Router:
    """A gateway that watches a store."""

    gateway: Gateway
    discovery: RouterDiscovery
    watcher: StoreWatcher

    @property
    def version(self) -> int:
        """Return the version of the active routing table, 0 without one."""
        table = self.gateway.state.table
        return table.version if table else 0

    @property
    def targets(self) -> list[str]:
        """Return the IDs of the ready targets."""
        return [target.id for target in self.gateway.state.registry.ready(LLM)]


@contextlib.asynccontextmanager
async def open_router(
    store_address: str,
    name: str = 'r1',
    seeds: tuple[str, ...] = (),
    renewal_seconds: float = 1.2,
) -> AsyncIterator[Router]:
    """Open a router that watches the store at an address.

    :param renewal_seconds: interval at which servers renew their rows.
    """
    settings = gateway_settings(name, seed_addresses=seeds)
    gateway = Gateway(settings, PlatformWireFormat())
    store = Store(store_address)
    watcher = StoreWatcher(store, gateway, renewal_seconds)
    discovery = RouterDiscovery(store, gateway)
    async with gateway:
        for work in (
            watcher.watch_config,
            watcher.watch_targets,
            discovery.run,
        ):
            await curio.spawn(work, daemon=True)
        yield Router(gateway, discovery, watcher)


async def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds; the test has its own time limit."""
    while not condition():
        await curio.sleep(0.01)


def filled_store() -> RowStore:
    """Return a store with a configuration and one server."""
    store = RowStore()
    store.put('op', 'config', CONFIG)
    store.put('servers', 'i-1', SERVER)
    return store


@run_async
async def test_changes_are_applied_as_soon_as_they_are_written() -> None:
    """Guards against changes that are applied only at the next poll.

    A call for changes waits in the store and has to return with the change.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await until(lambda: router.version == 7)
            await until(lambda: router.targets == ['i-1'])
            store.put('op', 'config', CONFIG | {'version': 9})
            store.put('servers', 'i-2', SERVER)
            store.put('servers', 'i-1', SERVER | {'state': 'draining'})
            await until(lambda: router.version == 9)
            await until(lambda: router.targets == ['i-2'])
            store.delete('servers', 'i-2')
            await until(lambda: router.targets == [])


@pytest.mark.parametrize('first', [[], [{'name': 'x', 'api-keys': ['k1']}]])
def test_keys_that_were_never_valid_are_accepted(first: list[Any]) -> None:
    """Guards against an empty list of tenants, as the first one or later."""

    @run_async
    async def check() -> None:
        store = filled_store()
        store.put('op', 'config', CONFIG | {'tenants': first})
        async with HttpServer('127.0.0.1:0', store) as server:
            async with open_router(f'127.0.0.1:{server.port}') as router:
                for version, tenants in (
                    (7, first),
                    (8, []),
                    (9, [{'name': 'x', 'api-keys': ['k1']}]),
                    (10, []),
                ):
                    store.put(
                        'op',
                        'config',
                        CONFIG | {'version': version, 'tenants': tenants},
                    )
                    await until(lambda: router.version == version)
                    table = router.gateway.state.table
                    assert table is not None
                    assert all(map(table.needs_key, table.routes))
                    is_known = table.find_organisation('k1') is not None
                    assert is_known is bool(tenants)

    check()


@run_async
async def test_a_late_write_of_a_server_that_has_left_is_used() -> None:
    """Guards against requests to a server that is gone for the store."""
    store = filled_store()
    store.put('servers', 'i-2', SERVER)
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            state = router.gateway.state
            now_seconds = state.clock()
            # However slow the machine is, no late write has expired.
            state.clock = lambda: now_seconds
            await until(lambda: router.targets == ['i-1', 'i-2'])
            store.delete('servers', 'i-2')
            await until(lambda: router.targets == ['i-1'])
            store.put('servers', 'i-2', SERVER)
            store.put('servers', 'i-3', SERVER)
            await until(lambda: 'i-3' in router.targets)
            assert router.targets == ['i-1', 'i-3']
            store.put('servers', 'i-2', SERVER | {'born': 10**12})
            await until(lambda: router.targets == ['i-1', 'i-2', 'i-3'])


@pytest.mark.parametrize('routers_count', [1, 4, 33, 370])
def test_calls_to_the_store_do_not_grow_with_each_router(
    routers_count: int,
) -> None:
    """Guards against a large fleet that exceeds the call limit of the store.

    With any number of routers one of their calls ends at least every 3 s,
    which limits how long all of them can wait on stalled connections.
    """
    wait_seconds = long_poll_seconds(routers_count)
    assert 3 <= wait_seconds <= 10
    assert wait_seconds / routers_count <= 3
    assert 2 * routers_count / wait_seconds <= 0.05 * 2000


@pytest.mark.parametrize(
    ('routers_count', 'departure_seconds', 'delay_seconds'),
    [(1, 2, 0.2), (4, 2, 0.2), (16, 3, 0.2), (36, 3, 0.4), (370, 3, 0.4)],
)
def test_a_large_fleet_reads_more_changes_in_a_call(
    routers_count: int, departure_seconds: float, delay_seconds: float
) -> None:
    """Guards against five calls a second of every router while servers start.

    The delay stays below 0.5 s, after which a router would fetch the document
    from a peer, and is a small part of the time in which a target leaves.
    """
    delay = batch_delay_seconds(routers_count, departure_seconds)
    assert delay == pytest.approx(delay_seconds)
    assert delay <= max(0.2, 0.15 * departure_seconds)


def _answer_times(
    routers_count: int, rng: random.Random
) -> list[tuple[list[float], ...]]:
    """Return when the source answers each router, for both documents.

    All routers start at 0, and a change of both documents ends their calls at
    20 s.
    """
    times = []
    for _ in range(routers_count):
        documents = []
        for _ in range(2):
            answers = [0.0]
            next_seconds = aligned_poll_seconds(routers_count, rng)
            while next_seconds < 40:
                if answers[-1] < 20 <= next_seconds:
                    answers.append(20.0)
                    next_seconds = 20 + aligned_poll_seconds(routers_count, rng)
                    continue
                answers.append(next_seconds)
                next_seconds += long_poll_seconds(routers_count)
            documents.append(answers)
        times.append(tuple(documents))
    return times


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('routers_count', [4, 16, 33, 78, 370])
def test_some_router_has_always_been_answered_recently(
    routers_count: int, seed: int
) -> None:
    """Guards against 503 instead of 404 or 401 while nothing is wrong.

    Routers that start together call the store together. If the calls, which
    wait for up to 10 s, also ended together, no router of the fleet would know
    for half of the time that its documents are up to date.
    """
    times = _answer_times(routers_count, random.Random(seed))
    for tenth in range(390):
        now_seconds = tenth / 10
        assert any(
            all(
                any(0 <= now_seconds - at <= 4.5 for at in answers)
                for answers in documents
            )
            for documents in times
        ), now_seconds


@run_async
async def test_an_unforeseen_error_does_not_end_the_discovery() -> None:
    """Guards against a router that finds no other routers any more.

    One read of the table of routers fails in a way that nothing expects.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        address = f'127.0.0.1:{server.port}'
        async with open_router(address, 'r1') as router:
            await until(lambda: store.keys('dotterelhatch-routers'))
            calls_count = 0

            async def fail() -> None:
                nonlocal calls_count
                calls_count += 1
                raise RuntimeError('unforeseen')

            await router.discovery._try_call(fail)
            assert calls_count == 1


@run_async
async def test_a_router_that_hears_nobody_removes_no_rows() -> None:
    """Guards against a router table that is emptied by one router.

    That router is cut off from all others, and reaches the store. The others do
    not write their rows again, and routers that start later need them.
    """
    store = filled_store()
    table = 'dotterelhatch-routers'
    store.put(table, 'r2', {'heartbeat': f'127.0.0.1:{free_port()}'})
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}', 'r1') as router:
            for _ in range(20):
                await router.discovery._refresh()
            assert 'r2' in store.keys(table)


@run_async
async def test_changes_of_a_group_of_servers_are_read_together() -> None:
    """Guards against one call to the store per server of a release.

    A release changes many rows within a short time, and the store charges for
    each call.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await until(lambda: router.targets == ['i-1'])
            before_count = store.called_paths.count('/rows-feed')
            before_seconds = await curio.clock()
            for index in range(2, 32):
                store.put('servers', f'i-{index:02}', SERVER)
                await curio.sleep(0.001)
            await until(lambda: len(router.targets) == 31)
            took_seconds = await curio.clock() - before_seconds
            # One call for the first change, one per 0.2 s, and the long polls
            # of both tables.
            calls_count = store.called_paths.count('/rows-feed') - before_count
            assert calls_count <= 3 + took_seconds / 0.2
            assert calls_count < 15


@run_async
async def test_a_malformed_version_leaves_the_last_one_active() -> None:
    """Guards against a router without routes after a malformed write.

    The configuration row holds bytes that are not JSON.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await until(lambda: router.version == 7)
            store.put_bytes('op', 'config', b'\xff')
            store.put('op', 'other', {})
            await until(
                lambda: (
                    router.gateway.snapshot_store.versions()['op']
                    == store.version
                )
            )
            assert router.version == 7


@run_async
async def test_the_table_is_read_again_when_the_history_has_expired() -> None:
    """Guards against missing a change that was written during an outage.

    The store has compacted its history before the router asks for changes.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await until(lambda: router.targets == ['i-1'])
            store.fault = StoreFault.BUSY
            await until(lambda: store.called_paths[-3:] == ['/rows-feed'] * 3)
            store.put('servers', 'i-1', SERVER | {'state': 'draining'})
            store.compact()
            store.fault = None
            await until(lambda: router.targets == [])


@pytest.mark.parametrize('fault', [StoreFault.BUSY, StoreFault.RESET])
def test_a_store_outage_keeps_the_last_state(
    fault: StoreFault,
) -> None:
    """Guards against routers that drop routes or targets in an outage.

    The calls fail while the outage lasts. A change that is written meanwhile
    has to be applied after it.
    """

    @run_async
    async def check() -> None:
        store = filled_store()
        async with HttpServer('127.0.0.1:0', store) as server:
            async with open_router(f'127.0.0.1:{server.port}') as router:
                await until(lambda: router.targets == ['i-1'])
                store.fault = fault
                calls_count = len(store.called_paths)
                await until(lambda: len(store.called_paths) > calls_count + 4)
                assert (router.version, router.targets) == (7, ['i-1'])
                store.put('op', 'config', CONFIG | {'version': 8})
                store.fault = None
                await until(lambda: router.version == 8)

    check()


@run_async
async def test_rows_that_expired_in_an_outage_are_used_for_a_while() -> None:
    """Guards against a service without targets when the store is back.

    The rows of servers expire during the outage, as the servers can't renew
    them; they need some time to write them again.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        address = f'127.0.0.1:{server.port}'
        async with open_router(address, renewal_seconds=0.1) as router:
            await until(lambda: router.targets == ['i-1'])
            store.fault = StoreFault.BUSY
            calls_count = len(store.called_paths)
            await until(lambda: len(store.called_paths) > calls_count + 4)
            store.delete('servers', 'i-1')
            version = store.version
            store.fault = None
            await until(
                lambda: (
                    router.gateway.snapshot_store.versions()['servers']
                    >= version
                )
            )
            assert router.targets == ['i-1']
            # The server is gone: its target expires after the grace period
            # without another change in the store.
            await until(lambda: router.targets == [])


@pytest.mark.parametrize('is_history_lost', [False, True])
def test_a_target_that_leaves_as_a_call_is_cut_is_gone(
    is_history_lost: bool,
) -> None:
    """Guards against requests to a target that left as a call was cut.

    The connection of a call for changes breaks, or the store has lost its
    history. No row can expire within such a moment.
    """

    @run_async
    async def check() -> None:
        store = filled_store()
        store.put('servers', 'i-2', SERVER)
        async with HttpServer('127.0.0.1:0', store) as server:
            async with open_router(f'127.0.0.1:{server.port}') as router:
                await until(lambda: router.targets == ['i-1', 'i-2'])
                await until(lambda: store.called_paths[-1] == '/rows-feed')
                store.fault = StoreFault.RESET
                store.put('servers', 'i-2', SERVER | {'slots': 7})
                calls_count = len(store.called_paths)
                await until(lambda: len(store.called_paths) > calls_count)
                store.fault = None
                store.delete('servers', 'i-1')
                if is_history_lost:
                    store.compact()
                version = store.version
                await until(
                    lambda: (
                        router.gateway.snapshot_store.versions()['servers']
                        >= version
                    )
                )
                assert router.targets == ['i-2']

    check()


@run_async
async def test_a_target_that_leaves_while_one_router_is_refused_is_gone() -> (
    None
):
    """Guards against requests to a target that a refused router still uses.

    The store refuses one router and answers another one, so servers can renew
    their rows. The row of a server that leaves as the refused router is let in
    again is missing in its first response, as if it had expired.
    """
    store = filled_store()
    refusing_store = filled_store()
    # Newer than all that the peer has, so that the peer tells no changes.
    refusing_store.version = 100
    refusing_store.put('servers', 'i-2', SERVER)
    async with (
        HttpServer('127.0.0.1:0', store) as server,
        HttpServer('127.0.0.1:0', refusing_store) as refusing_server,
        open_router(f'127.0.0.1:{server.port}', 'r1') as first,
    ):
        seeds = (first.gateway.settings.heartbeat_address,)
        address = f'127.0.0.1:{refusing_server.port}'
        async with open_router(address, 'r2', seeds) as second:
            state = second.gateway.state
            await until(lambda: second.targets == ['i-1', 'i-2'])
            await until(lambda: state.peers.live(state.clock()))
            refusing_store.fault = StoreFault.RESET
            calls_count = len(refusing_store.called_paths)
            await until(
                lambda: len(refusing_store.called_paths) > calls_count + 4
            )
            # Moves the refused router to a later moment of its outage.
            state.clock = lambda: boottime_seconds() + 6
            calls_count = len(refusing_store.called_paths)
            await until(
                lambda: len(refusing_store.called_paths) > calls_count + 4
            )
            refusing_store.fault = None
            refusing_store.delete('servers', 'i-1')
            version = refusing_store.version
            await until(
                lambda: (
                    second.gateway.snapshot_store.versions()['servers']
                    >= version
                )
            )
            assert second.targets == ['i-2']


@run_async
async def test_a_router_cut_off_from_the_store_uses_its_peers() -> None:
    """Guards against a revoked API key that stays valid at one router.

    Only this router's connection to the store has stalled.
    """
    store = filled_store()
    faulty_store = filled_store()
    async with (
        HttpServer('127.0.0.1:0', store) as server,
        HttpServer('127.0.0.1:0', faulty_store) as faulty_server,
        open_router(f'127.0.0.1:{server.port}', 'r1') as first,
    ):
        seeds = (first.gateway.settings.heartbeat_address,)
        address = f'127.0.0.1:{faulty_server.port}'
        async with open_router(address, 'r2', seeds) as second:
            await until(lambda: second.version == 7)
            faulty_store.fault = StoreFault.SILENT
            revoked = {'version': 8, 'tenants': [{'name': 'x', 'api-keys': []}]}
            store.put('op', 'config', CONFIG | revoked)
            store.put('servers', 'i-1', SERVER | {'state': 'draining'})
            await until(lambda: second.version == 8)
            await until(lambda: second.targets == [])


@run_async
async def test_a_router_that_starts_without_the_store_asks_its_peers() -> None:
    """Guards against a restarted router that has to wait for the store.

    Its calls to the store fail, while a peer has both documents.
    """
    store = filled_store()
    faulty_store = RowStore(fault=StoreFault.BUSY)
    async with (
        HttpServer('127.0.0.1:0', store) as server,
        HttpServer('127.0.0.1:0', faulty_store) as faulty_server,
        open_router(f'127.0.0.1:{server.port}', 'r1') as first,
    ):
        await until(lambda: first.targets == ['i-1'])
        seeds = (first.gateway.settings.heartbeat_address,)
        address = f'127.0.0.1:{faulty_server.port}'
        async with open_router(address, 'r2', seeds) as second:
            await until(lambda: second.targets == ['i-1'])
            assert second.version == 7
            await until(
                lambda: len(first.gateway.caller_addresses('konya')) == 2
            )


@pytest.mark.parametrize('is_store_reached', [False, True])
def test_routers_that_ended_are_not_named_while_the_store_is_reached(
    *, is_store_reached: bool
) -> None:
    """Guards against callers that are sent to routers that ended.

    A router hears its peer no more. One that reaches the store names it for
    less than 7 s, one that is cut off from both for longer.
    """

    @run_async
    async def check() -> None:
        store = filled_store()
        async with HttpServer('127.0.0.1:0', store) as server:
            address = f'127.0.0.1:{server.port}'
            async with open_router(address, 'r1') as first:
                seeds = (first.gateway.settings.heartbeat_address,)
                await until(lambda: first.version == 7)
                async with open_router(address, 'r2', seeds):
                    await until(
                        lambda: len(first.gateway.caller_addresses('a')) == 2
                    )
                if not is_store_reached:
                    store.fault = StoreFault.BUSY
                state = first.gateway.state
                state.clock = lambda: boottime_seconds() + 6.9
                if is_store_reached:
                    calls_count = store.called_paths.count('/rows-feed')
                    await until(
                        lambda: (
                            store.called_paths.count('/rows-feed')
                            >= calls_count + 2
                        )
                    )
                    await until(
                        lambda: state.has_source_responded(state.clock())
                    )
                names = first.gateway.caller_addresses('a')
                assert len(names) == (1 if is_store_reached else 2)

    check()


@run_async
async def test_a_router_without_peers_calls_the_store_more_often() -> None:
    """Guards against a router that takes itself for cut off from the store.

    It waits as long as a router of a large fleet when all others end. Until
    the store answers, it would go on naming them.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            state: Any = router.gateway.state
            live = state.peers.live
            many = [router.gateway._identity_heartbeat()] * 35
            state.peers.live = lambda now_seconds: many
            state.rng.uniform = lambda low, high: high
            # Longer than the test may take.
            with mock.patch.multiple(
                feeds,
                _MAX_LONG_POLL_SECONDS=600,
                _LONG_POLL_PER_ROUTER_SECONDS=100,
            ):
                await until(lambda: store.called_paths.count('/rows-feed') == 2)
            state.peers.live = live
            watch = router.watcher.abort_outdated_polls
            await curio.spawn(watch, daemon=True)
            await until(lambda: store.called_paths.count('/rows-feed') == 4)


@run_async
async def test_routers_without_seeds_discover_each_other() -> None:
    """Guards against a fleet that is split after all seeds were replaced.

    New routers have no peer to contact then. They register in a table of the
    store and read the addresses of the others there.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        address = f'127.0.0.1:{server.port}'
        async with (
            open_router(address, 'r1') as first,
            open_router(address, 'r2') as second,
        ):
            await until(lambda: len(store.keys('dotterelhatch-routers')) == 2)
            for router in (first, second):
                await until(
                    lambda router=router: (  # type: ignore[misc]
                        len(router.gateway.caller_addresses('konya')) == 2
                    )
                )
            await second.discovery.unregister()
            assert store.keys('dotterelhatch-routers') == ['r1']


def test_a_mirror_ignores_outdated_pages() -> None:
    """Guards against a configuration that reverts after a reconnect.

    The store may return an older state of the table or repeat a change.
    """
    mirror = TableMirror('op')
    assert mirror.replace(RowsPage((RowChange('config', b'new', 9),), 9))
    assert not mirror.replace(RowsPage((RowChange('config', b'old', 5),), 6))
    mirror.apply(RowsPage((RowChange('config', b'old', 5),), 9))
    assert [row.content for row in mirror.rows] == [b'new']


def test_a_mirror_is_restored_from_a_snapshot() -> None:
    """Guards against rows that are lost on the way to a peer.

    A router encodes its rows as a snapshot, which the peer decodes.
    """
    mirror = TableMirror('servers')
    rows = tuple(
        RowChange(f'i-{index}', json.dumps(SERVER).encode(), index)
        for index in range(1, 5)
    )
    mirror.replace(RowsPage(rows, 7))
    other = TableMirror('servers')
    other.restore(mirror.snapshot())
    assert (other.rows, other.version) == (mirror.rows, 7)
