"""Configuration versions in the table service, with lost responses."""

import asyncio
import itertools
import json
from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest

from dotterelhatch.configstore import ConfigConflict, ConfigStore, StoredConfig
from dotterelhatch.document import ConfigDocument, decode_document
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.ids import ConfigVersion
from dotterelhatch.backing.interfaces import Row, StoreUnavailable
from tests.faketables import FakeTables

_Result = TypeVar('_Result')
NONCES = itertools.count()


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end."""
    return asyncio.run(coroutine)


def make_document(name: str) -> ConfigDocument:
    """Return a document with one organisation."""
    organisations = [{'id': name}]
    content = {'base': {'organisations': organisations, 'services': []}}
    return decode_document(json.dumps(content).encode())


def make_store(tables: FakeTables) -> ConfigStore:
    """Return a store as one operator uses it, with a history of three."""
    return ConfigStore(tables, lambda: 1.0, lambda: str(next(NONCES)), 3)


def apply(store: ConfigStore, name: str, expected_version: int) -> StoredConfig:
    """Apply a document that is based on a version."""
    return run(
        store.apply(
            make_document(name), ConfigVersion(expected_version), 'selin'
        )
    )


def test_versions_and_history_limit() -> None:
    """Guards against gaps in the history and a history that grows for ever.

    Each change adds a row to the history and deletes the rows beyond the limit.
    """
    tables = FakeTables()
    store = make_store(tables)
    assert run(store.read()) is None
    for number, name in enumerate('abcde'):
        assert apply(store, name, number).version == number + 1
    assert [one.version for one in run(store.history())] == [5, 4, 3]
    current = run(store.read())
    assert current is not None
    assert current.decode() == make_document('e')
    assert current.author == 'selin'


def test_conflict_carries_the_stored_version() -> None:
    """Guards against an edit that overwrites another operator's edit.

    Both edits are based on the same version, so the second one must fail.
    """
    tables = FakeTables()
    apply(make_store(tables), 'a', 0)
    with pytest.raises(ConfigConflict) as caught:
        apply(make_store(tables), 'b', 0)
    assert caught.value.kind is ErrorKind.CONFIG_CONFLICT
    assert caught.value.current is not None
    assert caught.value.current.decode() == make_document('a')


def test_race_between_read_and_write() -> None:
    """Guards against two edits on one version that both report success.

    The second edit is written between the read and the write of the first.
    """

    class RacingTables(FakeTables):
        async def scan(self, table: str, prefix: str) -> list[Row]:
            if ('config', 'current') not in self.rows and not self.has_raced:
                self.has_raced = True
                other = make_store(self)
                await other.apply(make_document('x'), ConfigVersion(0), 'emre')
            return list(await super().scan(table, prefix))

        has_raced = False

    tables = RacingTables()
    with pytest.raises(ConfigConflict, match='version 1 by emre'):
        apply(make_store(tables), 'b', 0)
    assert [one.author for one in run(make_store(tables).history())] == ['emre']


@pytest.mark.parametrize(
    'faults',
    [
        ['', 'lost'],
        ['', 'dropped', 'lost'],
        ['', '', 'lost'],
        ['', '', 'dropped'],
        ['', '', 'dropped', 'lost'],
        ['', '', 'lost', 'down'],
    ],
)
def test_lost_response(faults: list[str]) -> None:
    """Guards against a conflict that an edit reports with its own write.

    If the response to a write is lost, the repeated write finds its own row.
    """
    tables = FakeTables()
    store = make_store(tables)
    apply(store, 'a', 0)
    tables.rows.pop(('config', 'history/000000000001'))
    tables.faults = faults
    assert apply(store, 'b', 1).version == 2
    assert [one.version for one in run(store.history())] == [2, 1]


def test_lost_response_followed_by_another_edit() -> None:
    """Guards against reporting a conflict for an edit that took effect.

    The response to the write is lost, and another edit replaces the version
    before the write is repeated.
    """

    class OvertakenTables(FakeTables):
        async def write(
            self, table: str, key: str, content: bytes, expected_revision: int
        ) -> Row:
            lost = self.faults == ['lost'] and key == 'current'
            try:
                return await super().write(
                    table, key, content, expected_revision
                )
            finally:
                if lost:
                    other = make_store(self)
                    document = make_document('c')
                    await other.apply(document, ConfigVersion(2), 'emre')

    tables = OvertakenTables()
    store = make_store(tables)
    apply(store, 'a', 0)
    tables.faults = ['', 'lost']
    assert apply(store, 'b', 1).version == 2
    authors = [one.author for one in run(store.history())]
    assert authors == ['emre', 'selin', 'selin']


def test_unknown_outcome_is_reported() -> None:
    """Guards against reporting that nothing was written when it may have been.

    Also guards against the reverse when the first write certainly failed.
    """
    tables = FakeTables()
    tables.faults = ['', 'dropped', 'down', 'down']
    with pytest.raises(DotterelhatchError) as caught:
        apply(make_store(tables), 'a', 0)
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE
    assert caught.value.executed is Executed.UNKNOWN
    for faults in (['down'], ['', 'down']):
        tables.faults = faults
        with pytest.raises(StoreUnavailable):
            apply(make_store(tables), 'a', 0)


def test_versions_increase_after_the_head_row_is_deleted() -> None:
    """Guards against reusing a version number that routers already hold.

    They would not apply another document with the same number.
    """
    tables = FakeTables()
    store = make_store(tables)
    apply(store, 'a', 0)
    apply(store, 'b', 1)
    tables.rows.pop(('config', 'current'))
    assert apply(store, 'c', 0).version == 3


def test_same_document_is_not_written_again() -> None:
    """Guards against a new version each time a command is repeated.

    Each version is distributed to all routers and takes a place in the history.
    """
    store = make_store(FakeTables())
    assert apply(store, 'a', 0) == apply(store, 'a', 1)


@pytest.mark.parametrize('old', [b'"digest"', b'{', b'base'])
def test_damaged_row(old: bytes) -> None:
    """Guards against routers that apply a damaged document.

    The digest or the JSON of the head row, or the document row, is damaged.
    """
    tables = FakeTables()
    store = make_store(tables)
    apply(store, 'a', 0)
    for row_id, row in tables.rows.items():
        if not row.key.startswith('history/'):
            content = row.content.replace(old, b'x', 1)
            tables.rows[row_id] = Row(row.key, content, row.revision)
    with pytest.raises(DotterelhatchError) as caught:
        run(store.read())
    assert caught.value.kind is ErrorKind.CONFIG_INVALID


def test_polling_does_not_read_the_document() -> None:
    """Guards against routers that read the whole document every 3 s.

    A document is large and seldom changes, so a poll reads only the head row.
    """
    tables = FakeTables()
    store = make_store(tables)
    apply(store, 'a', 0)
    newer = run(store.read_if_newer(ConfigVersion(0)))
    assert newer is not None
    assert newer.decode() == make_document('a')
    tables.rows = {
        row_id: row
        for row_id, row in tables.rows.items()
        if not row.key.startswith('document/')
    }
    assert run(store.read_if_newer(ConfigVersion(1))) is None
    with pytest.raises(DotterelhatchError):
        run(store.read_if_newer(ConfigVersion(0)))


def test_read_during_a_change() -> None:
    """Guards against a read that fails while a version is replaced.

    The document row is deleted between the read of the head row and its own.
    """

    class OvertakingTables(FakeTables):
        async def read(self, table: str, key: str) -> Row | None:
            if key.startswith('document/') and self.pending_edits:
                name, version = self.pending_edits.pop()
                other = make_store(self)
                await other.apply(make_document(name), version, 'emre')
            return await super().read(table, key)

        pending_edits: list[tuple[str, ConfigVersion]] = []

    tables = OvertakingTables()
    store = make_store(tables)
    apply(store, 'a', 0)
    tables.pending_edits = [('b', ConfigVersion(1))]
    current = run(store.read())
    assert current is not None
    assert current.decode() == make_document('b')


def test_obsolete_documents_are_deleted() -> None:
    """Guards against document rows left by old versions and lost races.

    The document row is written before the head row, whose write may then fail
    with a conflict.
    """
    tables = FakeTables()
    apply(make_store(tables), 'a', 0)
    apply(make_store(tables), 'b', 1)
    with pytest.raises(ConfigConflict):
        apply(make_store(tables), 'c', 1)
    kept = [key for _table, key in tables.rows if key.startswith('document/')]
    assert len(kept) == 1
