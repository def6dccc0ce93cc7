"""Simulated row store of the platform with injectable faults."""

import base64
import enum
import json
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import curio

from dotterelhatch.net.http import Headers, Response, ServerExchange

__all__ = ('RowStore', 'StoreFault')

_MAX_BODY_BYTES = 1_048_576


class StoreFault(enum.Enum):
    """Fault of the store.

    BUSY: calls get 503. RESET: connections are reset. SILENT: calls get no
    response.
    """

    BUSY = 'busy'
    RESET = 'reset'
    SILENT = 'silent'


@dataclass
class _StoredRow:
    value: str | None
    version: int


@dataclass
class RowStore:
    """Rows with versions and a change feed whose history can be compacted.

    :param era: sent with all responses, None to leave it out.
    :param called_paths: paths of all calls so far.
    :param oldest_version: feeds from an older version get 410.
    """

    fault: StoreFault | None = None
    era: int | None = 1
    called_paths: list[str] = field(default_factory=list)
    version: int = 0
    oldest_version: int = 0
    _stalled_feeds: int = 0
    _feeds: int = 0
    _rows: dict[tuple[str, str], _StoredRow] = field(default_factory=dict)

    def put(self, table: str, key: str, document: Any) -> int:
        """Write a row as JSON and return its version."""
        content = json.dumps(document).encode()
        return self.put_bytes(table, key, content)

    def put_bytes(self, table: str, key: str, content: bytes) -> int:
        """Write a row with the given bytes and return its version."""
        self.version += 1
        value = base64.b64encode(content).decode()
        self._rows[table, key] = _StoredRow(value, self.version)
        return self.version

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self.version += 1
        self._rows[table, key] = _StoredRow(None, self.version)

    def compact(self) -> None:
        """Discard the history, so that open feeds get 410."""
        self.oldest_version = self.version + 1

    def copy(self) -> dict[tuple[str, str], '_StoredRow']:
        """Return a copy of the rows for :meth:`restore`."""
        return {key: replace(row) for key, row in self._rows.items()}

    def restore(
        self, copied: dict[tuple[str, str], '_StoredRow'], version: int
    ) -> None:
        """Come back from a copy: later changes are gone, the era rises.

        :param version: of the store when the copy was made.
        """
        self._rows = dict(copied)
        self.version = version
        self.era = (self.era or 0) + 1

    def stall_feeds(self) -> None:
        """Leave the feeds in progress without a response for good."""
        self._stalled_feeds = self._feeds

    def keys(self, table: str) -> list[str]:
        """Return the keys of the rows that exist."""
        return [
            key
            for (row_table, key), row in self._rows.items()
            if row_table == table and row.value is not None
        ]

    async def __call__(self, exchange: ServerExchange) -> None:
        """Serve one call."""
        parts = urlsplit(exchange.head.path)
        self.called_paths.append(parts.path)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        body = await exchange.read_body(_MAX_BODY_BYTES)
        if self.fault is StoreFault.SILENT:
            await curio.sleep(3600)
        if self.fault is StoreFault.RESET:
            exchange.abort()
            return
        if self.fault is StoreFault.BUSY:
            await exchange.send(Response(503, (), b''))
            return
        await self._dispatch(exchange, parts.path, query, body)

    async def _dispatch(
        self,
        exchange: ServerExchange,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        if path == '/rows-get':
            await self._send_json(exchange, 200, self._select(query))
        elif path == '/rows-feed':
            await self._feed(exchange, query)
        elif path == '/rows-tx':
            await self._transact(exchange, json.loads(body))
        else:
            await self._send_json(exchange, 404, {})

    def _select(self, query: dict[str, str]) -> dict[str, Any]:
        start = query.get('from', '')
        limit = int(query.get('limit', '500'))
        rows = [
            _encode_row(query['table'], key, row)
            for (table, key), row in sorted(self._rows.items())
            if table == query['table'] and key >= start and row.value
        ]
        return {
            'rows': rows[:limit],
            'has-more': len(rows) > limit,
            'ver': self.version,
            'now-ms': 1,
        }

    async def _feed(
        self, exchange: ServerExchange, query: dict[str, str]
    ) -> None:
        since = int(query['since-rev'])
        if since < self.oldest_version or since > self.version:
            await self._send_json(exchange, 410, {})
            return
        self._feeds += 1
        feed = self._feeds
        waited_ms = 0
        changes = self._list_changes(query['table'], since)
        while not changes and waited_ms < int(query['wait-ms']):
            await curio.sleep(0.01)
            waited_ms += 10
            changes = self._list_changes(query['table'], since)
        if feed <= self._stalled_feeds:
            await curio.sleep(3600)
        await self._send_json(
            exchange,
            200,
            {'rows': changes, 'ver': self.version, 'now-ms': 1},
        )

    def _list_changes(
        self, requested_table: str, since: int
    ) -> list[dict[str, Any]]:
        rows = [
            (row.version, _encode_row(table, key, row))
            for (table, key), row in self._rows.items()
            if table == requested_table and row.version > since
        ]
        return [row for _, row in sorted(rows, key=lambda pair: pair[0])]

    async def _transact(
        self, exchange: ServerExchange, call: dict[str, Any]
    ) -> None:
        for row in call['expected-rev']:
            stored = self._rows.get((row['table'], row['key']))
            if (stored.version if stored else 0) != row['ver']:
                await self._send_json(exchange, 412, {'rows': []})
                return
        for row in call['set-keys']:
            content = base64.b64decode(row['value'])
            self.put_bytes(row['table'], row['key'], content)
        for row in call['remove']:
            self.delete(row['table'], row['key'])
        await self._send_json(exchange, 200, {'ver': self.version, 'now-ms': 1})

    async def _send_json(
        self, exchange: ServerExchange, status: int, document: Any
    ) -> None:
        headers: Headers = (('Content-Type', 'application/json'),)
        if self.era is not None:
            headers += (('Store-Era', str(self.era)),)
        body = json.dumps(document).encode()
        await exchange.send(Response(status, headers, body))


def _encode_row(table: str, key: str, row: _StoredRow) -> dict[str, Any]:
    document = {'table': table, 'part': '', 'key': key, 'ver': row.version}
    if row.value is None:
        return document | {'deleted': True}
    return document | {'value': row.value}
