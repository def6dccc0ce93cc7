"""A table service in memory whose answers tests can lose."""

from collections.abc import Sequence
from typing import Self

from dotterelhatch.backing.interfaces import (
    Row,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)


class FakeTables:
    """Rows by table and key.

    :param faults: one entry per write to come: ``lost`` (takes effect),
        ``dropped`` (takes no effect, outcome unknown), ``down``, or empty.
    """

    def __init__(self) -> None:
        """Start without rows."""
        self.rows: dict[tuple[str, str], Row] = {}
        self.faults: list[str] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *error: object) -> None:
        """Keep the rows for the next command."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row or None."""
        return self.rows.get((table, key))

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write a row on condition."""
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'down':
            raise StoreUnavailable
        if fault == 'dropped':
            raise WriteOutcomeUnknown
        current = self.rows.get((table, key))
        if (current.revision if current else 0) != expected_revision:
            raise WriteConflict(current)
        row = Row(key, content, expected_revision + 1)
        self.rows[table, key] = row
        if fault == 'lost':
            raise WriteOutcomeUnknown
        return row

    async def delete(
        self, table: str, key: str, expected_revision: int
    ) -> None:
        """Delete a row on condition."""
        current = self.rows.get((table, key))
        if current is None or current.revision != expected_revision:
            raise WriteConflict(current)
        del self.rows[table, key]

    async def scan(self, table: str, prefix: str) -> Sequence[Row]:
        """Return the rows below a prefix in key order."""
        return [
            self.rows[place]
            for place in sorted(self.rows)
            if place[0] == table and place[1].startswith(prefix)
        ]
