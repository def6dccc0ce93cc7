"""An in-memory table service whose writes can fail."""

from collections.abc import Sequence
from typing import Self

from dotterelhatch.backing.interfaces import (
    Row,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)


class FakeTables:
    """Table service that stores rows by table and key.

    Each write takes the next entry of ``faults``: ``lost`` (takes effect,
    outcome unknown), ``dropped`` (no effect, outcome unknown), ``down``
    (unavailable) or an empty string (no fault).
    """

    def __init__(self) -> None:
        """Start without rows."""
        self.rows: dict[tuple[str, str], Row] = {}
        self.faults: list[str] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *error: object) -> None:
        """Do nothing; the rows stay for the next command."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row or None."""
        return self.rows.get((table, key))

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write a row if it has the expected revision."""
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
        """Delete a row if it has the expected revision."""
        current = self.rows.get((table, key))
        if current is None or current.revision != expected_revision:
            raise WriteConflict(current)
        del self.rows[table, key]

    async def scan(self, table: str, prefix: str) -> Sequence[Row]:
        """Return the rows whose key starts with a prefix, in key order."""
        return [
            self.rows[table_and_key]
            for table_and_key in sorted(self.rows)
            if table_and_key[0] == table and table_and_key[1].startswith(prefix)
        ]
