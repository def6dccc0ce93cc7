"""Interfaces of the platform services and the errors that they raise.

Every implementation passes the tests of ``tests/test_backing_contract.py``.
"""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, Sequence

from dotterelhatch.ids import FailureDomain

__all__ = (
    'Clock',
    'HostEntry',
    'HostList',
    'HostRole',
    'HostState',
    'ObjectStore',
    'PlatformError',
    'RateLimited',
    'Row',
    'Sleep',
    'StoreUnavailable',
    'TableService',
    'WeightStore',
    'WeightsInfo',
    'WriteConflict',
    'WriteOutcomeUnknown',
)


Clock = Callable[[], float]
Sleep = Callable[[float], Awaitable[object]]


class PlatformError(Exception):
    """Base class of the errors that the platform services raise."""


class StoreUnavailable(PlatformError):
    """The service is unavailable.

    The call had no effect, unless the description of the method says otherwise.
    """


class WriteOutcomeUnknown(PlatformError):
    """No usable response to a write arrived; it may have taken effect."""


class RateLimited(PlatformError):
    """The service rejected the call because its rate limit is reached.

    :param retry_after_seconds: time to wait before the next call.
    """

    def __init__(self, retry_after_seconds: float) -> None:
        """Format the message."""
        super().__init__(
            f'rate limit reached; retry after {retry_after_seconds} s'
        )
        self.retry_after_seconds = retry_after_seconds


class WriteConflict(PlatformError):
    """A conditional write or delete did not find the expected revision.

    :param current: the row that is stored now, None if there is none.
    """

    def __init__(self, current: 'Row | None') -> None:
        """Store the current row."""
        super().__init__('the row does not have the expected revision')
        self.current = current


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    :param key: name of the row within its table.
    :param content: the stored bytes.
    :param revision: 1 for the first write, incremented by each further write.
        A row that is written again after a delete gets a revision above the
        deleted one, so a delayed conditional write or delete can never match
        a newer row.
    """

    key: str
    content: bytes
    revision: int


class TableService(Protocol):
    """Tables of rows with conditional writes, atomic for a single row."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row or None.

        :raises StoreUnavailable: if no response arrives in time.
        """

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write a row if it has the expected revision (0: no row).

        :raises WriteConflict: if the stored revision is another one.
        :raises WriteOutcomeUnknown: if no usable response arrived.
        :raises StoreUnavailable: if the write had no effect.
        """

    async def delete(
        self, table: str, key: str, expected_revision: int
    ) -> None:
        """Delete a row if it has the expected revision.

        :raises WriteConflict: if the stored revision is another one.
        :raises WriteOutcomeUnknown: if no usable response arrived.
        :raises StoreUnavailable: if the delete had no effect.
        """

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit_count: int | None = None,
    ) -> Sequence[Row]:
        """Return the rows whose key starts with a prefix, in key order.

        :param after: return only rows with a key greater than this one.
        :param limit_count: maximum number of rows, None for all.
        :raises StoreUnavailable: if no response arrives in time.
        """


class ObjectStore(Protocol):
    """Store of immutable objects, identified by name."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing the same bytes again has no effect.

        :raises PlatformError: if the name exists with different content.
        :raises StoreUnavailable: if no response arrives in time; the
            object may have been stored.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object or None.

        :raises StoreUnavailable: if no response arrives in time.
        """


class HostState(enum.Enum):
    """State of a host in the host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostRole(enum.Enum):
    """Role of a host: it runs a router or a target."""

    ENTRY = 'entry'
    TARGET = 'target'


@dataclass(frozen=True, slots=True)
class HostEntry:
    """An entry of the host list.

    :param name: router id or target id.
    :param role: whether the host runs a router (``ENTRY``) or a target.
    :param address: ``ip:port``; for a router its peer address.
    :param failure_domain: failure domain of the host.
    :param instance: id of the host instance; a replacement gets a new one.
    :param state: live or leaving.
    """

    name: str
    role: HostRole
    address: str
    failure_domain: FailureDomain
    instance: str
    state: HostState


class HostList(Protocol):
    """Eventually consistent list of the live and leaving hosts."""

    async def read_hosts(self) -> Sequence[HostEntry]:
        """Return the listed hosts, which may be some seconds out of date.

        :raises StoreUnavailable: if no response arrives in time.
        """


@dataclass(frozen=True, slots=True)
class WeightsInfo:
    """Description of a stored version of a model's weights.

    :param model: name of the model.
    :param version: name of the version.
    :param size_bytes: size of the weights.
    :param digest: SHA-256 of the weights in hexadecimal.
    """

    model: str
    version: str
    size_bytes: int
    digest: str


class WeightStore(Protocol):
    """Store of model weights with a rate limit."""

    async def describe(self, model: str, version: str) -> WeightsInfo | None:
        """Return the description or None.

        :raises RateLimited: if the rate limit is reached.
        :raises StoreUnavailable: if no response arrives in time.
        """
