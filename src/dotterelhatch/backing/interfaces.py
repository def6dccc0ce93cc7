"""Interfaces of the platform's services, each with a contract test."""

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
    """Base of the errors that the platform's services raise."""


class StoreUnavailable(PlatformError):
    """The service did not answer and the call had no effect."""


class WriteOutcomeUnknown(PlatformError):
    """The answer to a write was lost; it may have taken effect."""


class RateLimited(PlatformError):
    """The service refused the call because of its rate limit.

    :param retry_after_seconds: how long to wait before the next call.
    """

    def __init__(self, retry_after_seconds: float) -> None:
        """Keep the waiting time."""
        super().__init__(f'rate limited for {retry_after_seconds} s')
        self.retry_after_seconds = retry_after_seconds


class WriteConflict(PlatformError):
    """A conditional write met another revision than the expected one.

    :param current: the row that is stored now, None when there is none.
    """

    def __init__(self, current: 'Row | None') -> None:
        """Keep the stored row."""
        super().__init__('the row has another revision')
        self.current = current


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service.

    :param key: name of the row within its table.
    :param content: the stored bytes.
    :param revision: grows by one with each write, the first is 1. A row that
        is written again after a delete continues above the deleted revision,
        so that a late conditional write or delete never meets a newer row.
    """

    key: str
    content: bytes
    revision: int


class TableService(Protocol):
    """Rows with conditional writes; single-row writes are atomic."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row or None.

        :raises StoreUnavailable: when there is no answer in time.
        """

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write a row if its revision is the expected one (0: no row).

        :raises WriteConflict: when another revision is stored.
        :raises WriteOutcomeUnknown: when the answer was lost.
        :raises StoreUnavailable: when the write was certainly not sent.
        """

    async def delete(
        self, table: str, key: str, expected_revision: int
    ) -> None:
        """Delete a row if its revision is the expected one.

        :raises WriteConflict: when another revision is stored.
        :raises WriteOutcomeUnknown: when the answer was lost.
        :raises StoreUnavailable: when the call was certainly not sent.
        """

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit_count: int | None = None,
    ) -> Sequence[Row]:
        """Return the rows whose key starts with a prefix, in key order.

        :param after: only rows with a key greater than this one.
        :param limit_count: at most this many rows, None for all.
        :raises StoreUnavailable: when there is no answer in time.
        """


class ObjectStore(Protocol):
    """Immutable objects by name."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing the same bytes again is harmless.

        :raises PlatformError: when other bytes are stored under the name.
        :raises StoreUnavailable: when there is no answer in time.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object or None.

        :raises StoreUnavailable: when there is no answer in time.
        """


class HostState(enum.Enum):
    """State of a host as the platform lists it."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostRole(enum.Enum):
    """What a listed host is for."""

    ENTRY = 'entry'
    TARGET = 'target'


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One line of the platform's host list.

    :param name: router id or target id.
    :param role: entry host or target host.
    :param address: ``ip:port`` (of an entry host: its peer address).
    :param failure_domain: where the host is.
    :param instance: changes when the host is replaced.
    :param state: live or leaving.
    """

    name: str
    role: HostRole
    address: str
    failure_domain: FailureDomain
    instance: str
    state: HostState


class HostList(Protocol):
    """The lagging list of live and leaving hosts."""

    async def read_hosts(self) -> Sequence[HostEntry]:
        """Return the list, which may be some seconds old.

        :raises StoreUnavailable: when there is no answer in time.
        """


@dataclass(frozen=True, slots=True)
class WeightsInfo:
    """Description of one stored version of a model's weights.

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
    """The rate-limited store of model weights."""

    async def describe(self, model: str, version: str) -> WeightsInfo | None:
        """Return the description or None.

        :raises RateLimited: when the rate limit is reached.
        :raises StoreUnavailable: when there is no answer in time.
        """
