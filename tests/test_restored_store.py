"""A store that comes back from a copy of itself that is some seconds old."""

import json
import operator
from dataclasses import replace
from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelhatch.core.documents import UNKNOWN_ERA, DocumentPoint
from dotterelhatch.gateway.snapshots import Snapshot, SnapshotStore
from dotterelhatch.net.http import HttpServer, Response
from dotterelhatch.platform.mirror import RowRules, TableMirror
from dotterelhatch.platform.store import RowChange, RowsPage, decode_page
from standins.row_store import RowStore, StoreFault
from tests.gateway_helpers import run_async
from tests.test_platform_adapter import CONFIG, SERVER
from tests.test_platform_feeds import filled_store, open_router, until

BODY = b'{"rows": [], "ver": 3}'


def config(version: int) -> dict[str, object]:
    """Return a configuration of the operator."""
    return CONFIG | {'version': version}


@run_async
async def test_a_configuration_written_after_a_restore_is_applied() -> None:
    """Guards against a store whose versions are below the known ones."""
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await until(lambda: router.version == 7)
            copied, version = store.copy(), store.version
            for number in (9, 11, 12):
                store.put('op', 'config', config(number))
            await until(lambda: router.version == 12)
            store.restore(copied, version)
            store.put('op', 'config', config(15))
            await until(lambda: router.version == 15)
            store.put('servers', 'i-2', SERVER)
            await until(lambda: router.targets == ['i-1', 'i-2'])


@run_async
async def test_a_confirmed_configuration_stays_in_force() -> None:
    """Guards against a router that goes back to the copy of the store.

    A router that starts then has to learn of the newer one from its peer.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        address = f'127.0.0.1:{server.port}'
        async with open_router(address) as router:
            await until(lambda: router.version == 7)
            copied, version = store.copy(), store.version
            store.put('op', 'config', config(9))
            await until(lambda: router.version == 9)
            store.restore(copied, version)
            era = 2
            await until(
                lambda: router.gateway.snapshot_store.points()['op'].era == era
            )
            assert router.version == 9
            seeds = (router.gateway.settings.heartbeat_address,)
            async with open_router(address, 'r2', seeds) as started:
                await until(lambda: started.version == 9)
            store.put('op', 'config', config(10))
            await until(lambda: router.version == 10)


@run_async
async def test_a_router_cut_off_during_a_restore_follows_its_peer() -> None:
    """Guards against documents of the former era with higher versions."""
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        refusing = filled_store()
        async with HttpServer('127.0.0.1:0', refusing) as other:
            for number in range(5):
                refusing.put('servers', 'i-1', SERVER | {'seq': number})
            async with (
                open_router(f'127.0.0.1:{server.port}') as router,
                open_router(
                    f'127.0.0.1:{other.port}',
                    'r2',
                    (router.gateway.settings.heartbeat_address,),
                ) as cut_off,
            ):
                await until(lambda: router.version == 7)
                await until(lambda: cut_off.targets == ['i-1'])
                refusing.fault = StoreFault.BUSY
                copied, version = store.copy(), store.version
                store.restore(copied, version)
                store.put('op', 'config', config(9))
                store.put('servers', 'i-2', SERVER)
                await until(lambda: cut_off.version == 9)
                await until(lambda: cut_off.targets == ['i-1', 'i-2'])
                await until(lambda: router.targets == ['i-1', 'i-2'])


@run_async
async def test_a_server_that_left_before_a_restore_is_not_used_again() -> None:
    """Guards against rows of the copy whose servers are gone.

    Their addresses may be those of other servers by now. A server whose row
    the copy lacks stays in use until it has had time to write it again.
    """
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            store.put('servers', 'i-2', SERVER)
            await until(lambda: router.targets == ['i-1', 'i-2'])
            copied, version = store.copy(), store.version
            store.put('servers', 'i-3', SERVER)
            store.delete('servers', 'i-2')
            await until(lambda: router.targets == ['i-1', 'i-3'])
            store.restore(copied, version)
            points = router.gateway.snapshot_store.points
            era = 2
            await until(lambda: points()['servers'].era == era)
            assert router.targets == ['i-1', 'i-3']
            store.put('servers', 'i-3', SERVER)
            store.compact()
            await curio.sleep(0.5)
            assert router.targets == ['i-1', 'i-3']
            store.put('servers', 'i-2', SERVER | {'seq': 5})
            await until(lambda: router.targets == ['i-1', 'i-2', 'i-3'])


@run_async
async def test_a_router_registers_again_after_a_restore() -> None:
    """Guards against a router that others can't find in the table."""
    store = filled_store()
    async with HttpServer('127.0.0.1:0', store) as server:
        copied, version = store.copy(), store.version
        async with open_router(f'127.0.0.1:{server.port}') as router:
            table = 'dotterelhatch-routers'
            await until(lambda: store.keys(table) == ['r1'])
            store.restore(copied, version)
            assert store.keys(table) == []
            await router.discovery._refresh()  # noqa: SLF001
            await router.discovery._refresh()  # noqa: SLF001
            assert store.keys(table) == ['r1']


@pytest.mark.parametrize(
    ('headers', 'era'),
    [
        ((), None),
        ((('Store-Era', '4'),), 4),
        ((('store-era', '4'), ('Store-Era', '4')), 4),
        ((('Store-Era', '4'), ('Store-Era', '5')), None),
        ((('Store-Era', '-4'),), None),
        ((('Store-Era', 'four'),), None),
        ((('Store-Era', '9' * 30),), None),
    ],
)
def test_an_era_that_is_not_valid_is_not_known(
    headers: tuple[tuple[str, str], ...], era: int | None
) -> None:
    """Guards against a header that makes each page look like a new era."""
    assert decode_page(Response(200, headers, BODY)).era == era


def test_a_page_of_a_former_era_changes_nothing() -> None:
    """Guards against a late answer that brings an old table back."""
    mirror = TableMirror('servers')
    row = RowChange('i-1', b'{}', 5)
    assert mirror.replace(RowsPage((row,), 5, era=2))
    assert not mirror.replace(RowsPage((), 9, era=1))
    assert mirror.rows == [row]
    assert mirror.point == DocumentPoint(0, 2, 5)


def test_a_row_that_returned_is_kept_when_the_table_is_read_again() -> None:
    """Guards against a row that counts as removed for good."""
    mirror = TableMirror('servers')
    row = RowChange('i-1', b'{}', 5)
    mirror.replace(RowsPage((row,), 5, era=1))
    mirror.replace(RowsPage((), 6, era=1))
    returned = replace(row, version=7)
    for version in (7, 8):
        mirror.replace(RowsPage((returned,), version, era=1))
        assert mirror.rows == [returned]


def test_builds_without_eras_are_followed_until_a_restore() -> None:
    """Guards against a rollout in which two builds do not exchange documents.

    After a restore the version of the former build may be one of before it.
    """

    @run_async
    async def check() -> None:
        applied = []

        async def apply(snapshot: Snapshot) -> None:
            applied.append(snapshot.content)

        snapshots = SnapshotStore()
        snapshots.subscribe('op', apply)
        await snapshots.put_if_newer(Snapshot('op', 5, b'a', 3, 1))
        former = Snapshot('op', 6, b'b')
        assert former.era == UNKNOWN_ERA
        assert await snapshots.put_if_newer(former)
        assert await snapshots.put_if_newer(Snapshot('op', 4, b'c', 3, 2))
        assert not await snapshots.put_if_newer(replace(former, version=9))
        assert applied == [b'a', b'b', b'c']

    check()


class StoreModel:
    """A store whose operator writes, and two routers that read it."""

    def __init__(self) -> None:
        """Start with one configuration, which no router has read."""
        self.store = RowStore()
        self.written = 0
        self.copies: list[tuple[Any, int]] = []
        self.since: list[tuple[int | None, int]] = [(None, 0), (None, 0)]
        rules = RowRules(revision_of=revision)
        self.mirrors = [TableMirror('op', rules) for _ in range(2)]
        self.write(0)
        self.copy(0)
        self.pages = [self.page()]

    def write(self, number: int) -> None:
        """Write the next configuration."""
        self.written += 1
        self.store.put('op', 'config', self.written)

    def copy(self, number: int) -> None:
        """Make a copy that a restore may use."""
        self.copies.append((self.store.copy(), self.store.version))

    def restore(self, number: int) -> None:
        """Come back from one of the copies."""
        self.store.restore(*self.copies[number % len(self.copies)])

    def read(self, number: int) -> None:
        """Let a router read the table."""
        self.pages.append(self.page())
        assert self.mirrors[number % 2].replace(self.pages[-1])
        self.since[number % 2] = (self.store.era, self.store.version)

    def poll(self, number: int) -> None:
        """Let a router get the changes since it read, if it still may."""
        era, version = self.since[number % 2]
        if era != self.store.era:
            self.read(number)
            return
        rows = self.store._list_changes('op', version)  # noqa: SLF001
        self.mirrors[number % 2].apply(self._decode(rows))
        self.since[number % 2] = (self.store.era, self.store.version)

    def late(self, number: int) -> None:
        """Let a router get an answer that was sent before."""
        mirror = self.mirrors[number % 2]
        mirror.replace(self.pages[number % len(self.pages)])

    def peer(self, number: int) -> None:
        """Let a router get the rows of the other, if they are newer."""
        mirror, other = self.mirrors[number % 2], self.mirrors[1 - number % 2]
        if other.point > mirror.point:
            mirror.restore(other.snapshot())

    def page(self) -> RowsPage:
        """Return the whole table."""
        document = self.store._select({'table': 'op'})  # noqa: SLF001
        return self._decode(document['rows'])

    def _decode(self, rows: list[dict[str, Any]]) -> RowsPage:
        document = {'rows': rows, 'ver': self.store.version}
        response = Response(
            200,
            (('Store-Era', str(self.store.era)),),
            json.dumps(document).encode(),
        )
        return decode_page(response)


def revision(row: RowChange) -> int:
    """Return the configuration of a row of the model."""
    return int(row.content or 0)


def newest(mirror: TableMirror) -> int:
    """Return the configuration that a router has, 0 without one."""
    return max(map(revision, mirror.rows), default=0)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                (
                    'write',
                    'copy',
                    'restore',
                    'read',
                    'poll',
                    'late',
                    'peer',
                )
            ),
            st.integers(0, 5),
        ),
        max_size=30,
    )
)
def test_no_older_configuration_follows_a_newer_one(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against a state that goes back, whoever it comes from."""
    model = StoreModel()
    seen = [0, 0]
    for step, number in steps:
        getattr(model, step)(number)
        now = [newest(mirror) for mirror in model.mirrors]
        assert all(map(operator.ge, now, seen))
        seen = now
    model.write(0)
    for index, mirror in enumerate(model.mirrors):
        model.poll(index)
        assert newest(mirror) == model.written


def test_a_newer_row_of_a_former_era_stops_no_later_change() -> None:
    """Guards against versions of a former era beside those of the present.

    A router that started after a restore hears of a configuration that only
    one other router has got before it.
    """
    rules = RowRules(revision_of=revision)
    former, started = TableMirror('op', rules), TableMirror('op', rules)
    former.replace(RowsPage((RowChange('config', b'16', 20),), 20, era=1))
    started.replace(RowsPage((RowChange('config', b'13', 9),), 15, era=2))
    assert former.point > started.point
    started.restore(former.snapshot())
    assert newest(started) == 16
    assert started.point == DocumentPoint(16, 2, 15)
    written = RowChange('config', b'17', 16)
    started.apply(RowsPage((written,), 16, era=2))
    assert started.rows == [written]
