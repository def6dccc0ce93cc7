"""JSON records of the platform protocol, for the clients and the stand-in."""

from typing import Self

from pydantic import ConfigDict, TypeAdapter

from dotterelhatch.fleet import FrozenModel
from dotterelhatch.backing.interfaces import HostEntry, Row, WeightsInfo

__all__ = ('HOST_LIST_ADAPTER', 'WEIGHTS_ADAPTER', 'RowRecord', 'ScanPage')

HOST_LIST_ADAPTER = TypeAdapter(tuple[HostEntry, ...])
WEIGHTS_ADAPTER = TypeAdapter(WeightsInfo)


class RowRecord(FrozenModel):
    """A row of a scan response; the content is encoded as base64."""

    model_config = ConfigDict(ser_json_bytes='base64', val_json_bytes='base64')

    key: str
    content: bytes
    revision: int

    @classmethod
    def from_row(cls, row: Row) -> Self:
        """Create the record of a row."""
        return cls(key=row.key, content=row.content, revision=row.revision)

    def to_row(self) -> Row:
        """Return the row that the record holds."""
        return Row(self.key, self.content, self.revision)


class ScanPage(FrozenModel):
    """Response body of a scan."""

    rows: tuple[RowRecord, ...]
