"""JSON records of the platform protocol, shared by client and stand-in."""

from typing import Self

from pydantic import ConfigDict, TypeAdapter

from dotterelhatch.fleet import FrozenModel
from dotterelhatch.backing.interfaces import HostEntry, Row, WeightsInfo

__all__ = ('HOST_LIST_ADAPTER', 'WEIGHTS_ADAPTER', 'RowRecord', 'ScanPage')

HOST_LIST_ADAPTER = TypeAdapter(tuple[HostEntry, ...])
WEIGHTS_ADAPTER = TypeAdapter(WeightsInfo)


class RowRecord(FrozenModel):
    """One row in a scan; the content is encoded in base64."""

    model_config = ConfigDict(ser_json_bytes='base64', val_json_bytes='base64')

    key: str
    content: bytes
    revision: int

    @classmethod
    def from_row(cls, row: Row) -> Self:
        """Return the record of a row."""
        return cls(key=row.key, content=row.content, revision=row.revision)

    def to_row(self) -> Row:
        """Return the row of this record."""
        return Row(self.key, self.content, self.revision)


class ScanPage(FrozenModel):
    """The rows that a scan returns."""

    rows: tuple[RowRecord, ...]
