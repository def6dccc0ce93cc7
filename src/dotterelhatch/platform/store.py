"""Client of the platform's store of rows."""

import base64
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

from dotterelhatch.net.http import HttpError, Response, fetch

__all__ = (
    'HistoryExpiredError',
    'RowChange',
    'RowsPage',
    'Store',
    'StoreError',
)

_CALL_TIMEOUT_SECONDS: Final = 1.5
# Added to the time that a call waits for changes.
_FEED_MARGIN_SECONDS: Final = 0.7
_PAGE_ROWS_COUNT: Final = 500
_MILLISECONDS: Final = 1000
_OK: Final = 200
_GONE: Final = 410
_CONFLICT: Final = 412


class StoreError(Exception):
    """The store did not answer, or refused the call."""


class HistoryExpiredError(StoreError):  # noqa: N818
    """The changes since the given version are no longer known."""


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row as it is now.

    :param content: None when the row was deleted.
    :param version: of the transaction that changed the row.
    """

    key: str
    content: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowsPage:
    """Rows, or changes of rows, in the order of the answer.

    :param version: newest version of the whole store.
    """

    rows: tuple[RowChange, ...]
    version: int
    has_more: bool = False


class Store:
    """Calls the store, each on a connection of its own.

    A connection on which an answer was lost delivers nothing further, and
    one that is kept open can go silent.

    :param address: ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        """Keep the address."""
        self._address = address

    async def read_table(self, table: str) -> RowsPage:
        """Return all rows of a table.

        The version is the one of the first page: what changes while the
        pages are read comes again with the feed.

        :raises StoreError: when the call fails.
        """
        rows: list[RowChange] = []
        page = await self._read_page(table, '')
        version = page.version
        rows += page.rows
        while page.has_more and page.rows:
            page = await self._read_page(table, f'{page.rows[-1].key}\0')
            rows += page.rows
        return RowsPage(tuple(rows), version)

    async def read_changes(
        self, table: str, since: int, wait_seconds: float
    ) -> RowsPage:
        """Return the changes after a version, as soon as there are any.

        :raises HistoryExpiredError: when the table has to be read anew.
        :raises StoreError: when the call fails.
        """
        query = {
            'table': table,
            'since-rev': since,
            'wait-ms': int(wait_seconds * _MILLISECONDS),
        }
        response = await self._call(
            'GET', '/rows-feed', query, wait_seconds + _FEED_MARGIN_SECONDS
        )
        if response.status == _GONE:
            raise HistoryExpiredError(f'{table}: no history since {since}')
        return _decode_page(_checked(response))

    async def write_row(self, table: str, key: str, content: bytes) -> None:
        """Write a row, whatever is stored there.

        :raises StoreError: when the call fails; it may have been done.
        """
        await self._transact(
            [],
            [_row(table, key, {'value': base64.b64encode(content).decode()})],
            [],
        )

    async def remove_row(
        self, table: str, key: str, expected_version: int
    ) -> bool:
        """Remove a row if it has the given version.

        :returns: False when it has another one.
        :raises StoreError: when the call fails; it may have been done.
        """
        return await self._transact(
            [_row(table, key, {'ver': expected_version})],
            [],
            [_row(table, key, {})],
        )

    async def _transact(
        self,
        expected: Sequence[dict[str, Any]],
        written: Sequence[dict[str, Any]],
        removed: Sequence[dict[str, Any]],
    ) -> bool:
        body = {
            'expected-rev': expected,
            'set-keys': written,
            'remove': removed,
        }
        response = await self._call(
            'POST',
            '/rows-tx',
            {},
            _CALL_TIMEOUT_SECONDS,
            json.dumps(body).encode(),
        )
        if response.status == _CONFLICT:
            return False
        _checked(response)
        return True

    async def _read_page(self, table: str, start: str) -> RowsPage:
        query = {'table': table, 'part': '', 'limit': _PAGE_ROWS_COUNT}
        if start:
            query['from'] = start
        response = await self._call(
            'GET', '/rows-get', query, _CALL_TIMEOUT_SECONDS
        )
        return _decode_page(_checked(response))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        timeout_seconds: float,
        body: bytes = b'',
    ) -> Response:
        target = f'{path}?{urlencode(query)}' if query else path
        headers = (('Content-Type', 'application/json'),) if body else ()
        try:
            return await fetch(
                self._address, method, target, headers, body, timeout_seconds
            )
        except HttpError as error:
            raise StoreError(str(error)) from error


def _row(table: str, key: str, fields: dict[str, Any]) -> dict[str, Any]:
    return {'table': table, 'part': '', 'key': key, **fields}


def _checked(response: Response) -> Response:
    if response.status != _OK:
        raise StoreError(f'status {response.status}')
    return response


def _decode_page(response: Response) -> RowsPage:
    try:
        document = dict(json.loads(response.body))
        return RowsPage(
            rows=tuple(_decode_row(row) for row in document.get('rows', ())),
            version=int(document['ver']),
            has_more=bool(document.get('has-more', False)),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise StoreError(f'the answer is malformed: {error!r}') from error


def _decode_row(answered: Any) -> RowChange:
    row = dict(answered)
    is_deleted = bool(row.get('deleted', False))
    content = None
    if not is_deleted:
        content = base64.b64decode(row.get('value') or '')
    return RowChange(str(row['key']), content, int(row['ver']))
