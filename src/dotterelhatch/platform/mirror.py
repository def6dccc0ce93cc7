"""Local copies of store tables, exchanged between routers as snapshots."""

import base64
import json
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, replace
from typing import Annotated, Any, Final

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from dotterelhatch.core.documents import UNKNOWN_ERA, DocumentPoint
from dotterelhatch.gateway.snapshots import InvalidSnapshotError, Snapshot
from dotterelhatch.jsonmodel import MAX_INTEGER, describe_errors
from dotterelhatch.platform.store import RowChange, RowsPage

__all__ = ('RowRules', 'TableMirror', 'decode_rows')


# Many times the rows that are removed in the time between a copy of the store
# and its return.
_MAX_REMOVED_COUNT: Final = 4096


def _no_revision(row: RowChange) -> int:
    return 0


def _key(row: RowChange) -> Hashable:
    return row.key


_Version = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
_ROWS: Final = TypeAdapter(
    list[tuple[str, str, _Version]], config=ConfigDict(strict=True)
)


@dataclass(frozen=True, slots=True)
class RowRules:
    """What the rows of a table mean after the store came back from a copy.

    :param revision_of: returns the revision of a row, 0 for rows without.
    :param identity_of: returns what a row is about. What has been removed does
        not return, but something else may get the same key.
    """

    revision_of: Callable[[RowChange], int] = _no_revision
    identity_of: Callable[[RowChange], Hashable] = _key


class TableMirror:
    """Local copy of a table, complete up to a version of an era.

    The store may come back from an older copy of itself, with the next era.
    Rows that were removed before may be in that copy; they are left out until
    they are written again. A row with a higher revision than that of the copy
    is kept, because its author does not take it back.

    :param name: of the table.
    :param rules: for the rows of the table.
    """

    def __init__(self, name: str, rules: RowRules | None = None) -> None:
        """Start with no rows and a version below any real one."""
        self.name = name
        self.version = -1
        self.era = UNKNOWN_ERA
        self._rules = rules or RowRules()
        self._revision = 0
        self._rows: dict[str, RowChange] = {}
        self._removed: OrderedDict[Hashable, None] = OrderedDict()

    @property
    def rows(self) -> list[RowChange]:
        """Return all rows."""
        return list(self._rows.values())

    @property
    def point(self) -> DocumentPoint:
        """Return the point in the history of the table."""
        return DocumentPoint(self._revision, self.era, self.version)

    def replace(self, page: RowsPage) -> bool:
        """Replace all rows; return False and change nothing if outdated."""
        era = self._era_of(page)
        if (era, page.version) < (self.era, self.version):
            return False
        rows = {
            row.key: row for row in page.rows if not self._is_removed(row, era)
        }
        rows |= self._kept_rows(rows, is_copy=era > self.era)
        if era == self.era:
            self._note_removed(self._rows.keys() - rows.keys())
        self._set_rows(rows, era, page.version)
        return True

    def apply(self, page: RowsPage) -> None:
        """Apply changes; repeated and older ones are ignored."""
        for row in page.rows:
            current = self._rows.get(row.key)
            if current is not None and current.version >= row.version:
                continue
            if row.content is None:
                self._note_removed({row.key} & self._rows.keys())
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
                self._removed.pop(self._rules.identity_of(row), None)
            self.version = max(self.version, row.version)
        self._note_revisions(page.rows)

    def _set_rows(
        self, rows: dict[str, RowChange], era: int, version: int
    ) -> None:
        self._rows = rows
        self.era = era
        self.version = version
        self._note_revisions(rows.values())
        if self._removed:
            for row in rows.values():
                self._removed.pop(self._rules.identity_of(row), None)

    def _note_revisions(self, rows: Iterable[RowChange]) -> None:
        revisions = map(self._rules.revision_of, rows)
        self._revision = max(self._revision, *revisions, 0)

    def _era_of(self, page: RowsPage) -> int:
        """Return the era of a page, that of the rows if it names none."""
        return max(0, self.era) if page.era is None else page.era

    def _is_removed(self, row: RowChange, era: int) -> bool:
        """Return whether a row was removed and is not written again since."""
        if not self._removed or row.version > self.version and era == self.era:
            return False
        return self._rules.identity_of(row) in self._removed

    def _note_removed(self, keys: Iterable[str]) -> None:
        for key in keys:
            identity = self._rules.identity_of(self._rows[key])
            self._removed[identity] = None
        while len(self._removed) > _MAX_REMOVED_COUNT:
            self._removed.popitem(last=False)

    def _kept_rows(
        self, read: dict[str, RowChange], *, is_copy: bool
    ) -> dict[str, RowChange]:
        """Return the rows that are newer than those of an older copy.

        They get the versions of the copy, so that any later write replaces
        them.

        :param is_copy: whether the rows are read for the first time since the
            store came back.
        """
        kept = {}
        for key, row in self._rows.items():
            other = read.get(key)
            if other is None:
                is_newer = self._rules.revision_of(row) > 0
                is_newer = is_newer and (is_copy or not row.version)
                version = 0
            else:
                is_newer = self._revision_exceeds(row, other)
                version = other.version
            if is_newer:
                kept[key] = RowChange(key, row.content, version)
        return kept

    def _adopt_newer(self, rows: Iterable[RowChange]) -> None:
        """Take the rows of a former era that have higher revisions."""
        for row in rows:
            own = self._rows.get(row.key, RowChange(row.key, None, 0))
            if self._revision_exceeds(row, own):
                self._rows[row.key] = replace(row, version=own.version)
        self._note_revisions(self._rows.values())

    def _revision_exceeds(self, row: RowChange, other: RowChange) -> bool:
        revision_of = self._rules.revision_of
        return revision_of(row) > revision_of(other)

    def snapshot(self) -> Snapshot:
        """Return the rows as a snapshot for peers."""
        rows: list[Any] = [
            [
                row.key,
                base64.b64encode(row.content or b'').decode(),
                row.version,
            ]
            for row in sorted(self._rows.values(), key=lambda row: row.key)
        ]
        content = json.dumps(rows, separators=(',', ':')).encode()
        point = self.point
        return Snapshot(
            self.name, self.version, content, point.revision, self.era
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace all rows by the snapshot of a peer.

        Of a snapshot of a former era, only rows with higher revisions are
        taken.

        :raises InvalidSnapshotError: when it is malformed; nothing changes.
        """
        rows = decode_rows(snapshot.content)
        if snapshot.era < self.era:
            self._adopt_newer(rows)
            return
        current = {
            row.key: row
            for row in rows
            if not self._is_removed(row, snapshot.era)
        }
        if snapshot.era == self.era:
            self._note_removed(self._rows.keys() - current.keys())
        self._set_rows(current, snapshot.era, snapshot.version)
        self._revision = max(self._revision, snapshot.revision)


def decode_rows(content: bytes) -> list[RowChange]:
    """Decode the rows of a snapshot.

    :raises InvalidSnapshotError: when it is malformed.
    """
    try:
        return [
            RowChange(key, base64.b64decode(encoded), version)
            for key, encoded, version in _ROWS.validate_json(content)
        ]
    except ValidationError as error:
        raise InvalidSnapshotError(describe_errors(error)) from error
    except ValueError as error:
        raise InvalidSnapshotError(f'malformed bytes: {error}') from error
