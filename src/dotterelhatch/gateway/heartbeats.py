"""Heartbeats between gateways as UDP datagrams.

A datagram takes a tenth of the CPU time of a gRPC call and needs no connection
that could stall; a lost heartbeat is superseded by the next one.
"""

import functools
import logging
import math
import socket
import zlib
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import replace
from itertools import chain
from types import TracebackType
from typing import Any, Final, Self

import curio
import msgspec
from curio.traps import _read_wait  # noqa: WPS450
from pydantic import TypeAdapter, ValidationError

from dotterelhatch.core.crashcauses import CrashEvidence
from dotterelhatch.core.peers import Heartbeat, WindowTotals
from dotterelhatch.core.speeds import SpeedReport
from dotterelhatch.fleet import RemoteAddress
from dotterelhatch.net.stream import split_address

__all__ = (
    'HeartbeatSocket',
    'check_heartbeat',
    'decode_heartbeat',
    'encode_fitting_heartbeat',
    'encode_heartbeat',
)

_LOGGER: Final = logging.getLogger(__name__)
_MAX_DATAGRAM_BYTES: Final = 65_507
# The fastest level. A higher one saves a tenth of the bytes and takes twice
# the time.
_COMPRESSION_LEVEL: Final = 1
# Limit of memory for a malformed datagram: several times the size of a
# heartbeat in a fleet of 400 routers and 5,000 targets.
_MAX_DECOMPRESSED_BYTES: Final = 1_000_000
# Every heartbeat contains the same field names. As a zlib dictionary known to
# sender and receiver they take almost no space. All routers need the same
# dictionary, so it stays as it is when fields are added or removed.
_COMPRESSION_DICTIONARY: Final = (
    b'refused_count admitted_count fingerprint target completed router'
    b' incarnation sequence failure_domain caller_address control_address'
    b' heartbeat_address is_ready is_accepting snapshot_versions loads totals'
    b' is_source_seen requests_per_second crashes sent_prompts refused id'
    b' tokens_count target parts spare_tokens requests_count unread_tokens'
    b' memory_tokens asked_tokens begun_tokens usages admissions'
    b' known_addresses'
)
_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Heartbeat)
_ADDRESS: Final = TypeAdapter(RemoteAddress)
# Sums of the counts of a large fleet fit into 64 bits.
_MAX_COUNT: Final = 10**17
_MAX_AGE_SECONDS: Final = 10**9
# More than fit into the receive buffer of a socket.
_MAX_QUEUED_COUNT: Final = 10_000
_MAX_DATAGRAMS_PER_ROUND_COUNT: Final = 16
_WOULD_BLOCK: Final = (BlockingIOError, InterruptedError)

HeartbeatHandler = Callable[[Heartbeat], Awaitable[None]]


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat as compressed MessagePack."""
    compressor = zlib.compressobj(
        _COMPRESSION_LEVEL, zdict=_COMPRESSION_DICTIONARY
    )
    content = compressor.compress(_ENCODER.encode(heartbeat))
    return content + compressor.flush()


def encode_fitting_heartbeat(heartbeat: Heartbeat) -> tuple[bytes, bool]:
    """Encode as much of a heartbeat as fits into a datagram.

    The system sends no longer one, and peers take a router without heartbeats
    for lost.

    :returns: the datagram, and whether something was left out.
    """
    datagram = encode_heartbeat(heartbeat)
    if len(datagram) <= _MAX_DATAGRAM_BYTES:
        return datagram, False
    for shortened in _shortened(heartbeat):
        datagram = encode_heartbeat(shortened)
        if len(datagram) <= _MAX_DATAGRAM_BYTES:
            break
    return datagram, True


def _shortened(heartbeat: Heartbeat) -> Iterator[Heartbeat]:
    heartbeat = replace(heartbeat, sent_prompts=(), refused=())
    yield heartbeat
    if heartbeat.totals is not None:
        totals = replace(heartbeat.totals, crash_evidence=None)
        yield replace(heartbeat, totals=totals)
    heartbeat = replace(heartbeat, totals=None)
    yield heartbeat
    yield replace(heartbeat, loads={})


def decode_heartbeat(datagram: bytes) -> Heartbeat:
    """Decode a datagram.

    :raises ValueError: when the datagram is not a valid heartbeat.
    """
    try:
        return _DECODER.decode(_decompress(datagram))
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise ValueError(f'not a heartbeat: {error}') from error


def check_heartbeat(heartbeat: Heartbeat) -> None:
    """Check the numbers and addresses of a heartbeat.

    :raises ValueError: when one is out of range.
    """
    if not _in_range(_counts(heartbeat), _MAX_COUNT):
        raise ValueError('a count is out of range')
    if not _in_range(_ages(heartbeat), _MAX_AGE_SECONDS):
        raise ValueError('an age is out of range')
    for address in _addresses(heartbeat):
        if not _is_remote(address):
            raise ValueError(f'{address[:64]!r} is not the address of a router')


def _in_range(numbers: list[float], maximum: float) -> bool:
    # One that is not a number escapes the comparisons, but not the sum.
    return not numbers or (
        min(numbers) >= 0
        and max(numbers) <= maximum
        and math.isfinite(sum(numbers))
    )


def _counts(heartbeat: Heartbeat) -> list[float]:
    """Return the numbers of a heartbeat that are counts or rates."""
    numbers = [
        heartbeat.requests_per_second,
        *heartbeat.snapshot_versions.values(),
    ]
    for point in heartbeat.snapshot_points.values():
        numbers.extend((point.revision, point.era + 1, point.version))
    for load in heartbeat.loads.values():
        numbers.extend(
            (load.requests_count, load.unread_tokens, load.memory_tokens)
        )
    for sent in heartbeat.sent_prompts:
        numbers.append(sent.spare_tokens)
        numbers.extend([part.tokens_count for part in sent.parts])
    if heartbeat.totals is not None:
        numbers.extend(_window_counts(heartbeat.totals))
    return numbers


def _window_counts(totals: WindowTotals) -> list[float]:
    numbers: list[float] = []
    for usages in (totals.usages, *totals.plain_usages.values()):
        for usage in usages.values():
            numbers.extend((usage.asked_tokens, usage.begun_tokens))
    for admissions in totals.admissions.values():
        for counts in admissions.values():
            numbers.extend((counts.refused_count, counts.admitted_count))
    for report in totals.target_limits:
        numbers.extend((report.started_ms, report.limit_per_second or 0))
    numbers.extend(_speed_counts(totals.target_speeds))
    if totals.crash_evidence is not None:
        rejected = totals.crash_evidence.rejected
        numbers.extend([causes.trials_count for causes in rejected])
    return numbers


def _speed_counts(reports: Iterable[SpeedReport]) -> Iterator[int]:
    for report in reports:
        yield report.started_ms
        yield from chain.from_iterable(report.figures)


def _ages(heartbeat: Heartbeat) -> list[float]:
    numbers = [age_seconds for _, age_seconds in heartbeat.refused]
    if heartbeat.totals is None:
        return numbers
    evidence = heartbeat.totals.crash_evidence or CrashEvidence()
    limits = heartbeat.totals.target_limits
    numbers.extend([report.age_seconds for report in limits])
    numbers.extend([crash.age_seconds for crash in evidence.crashes])
    numbers.extend([causes.age_seconds for causes in evidence.rejected])
    numbers.extend([cause.age_seconds for cause in evidence.completed])
    numbers.append(evidence.claim_age_seconds or 0)
    for crash in evidence.crashes:
        numbers.extend(crash.runs_seconds)
    return numbers


def _addresses(heartbeat: Heartbeat) -> Iterator[str]:
    yield heartbeat.caller_address
    yield heartbeat.control_address
    yield heartbeat.heartbeat_address
    if heartbeat.totals is not None:
        yield from heartbeat.totals.known_addresses


@functools.lru_cache(maxsize=4096)
def _is_remote(address: str) -> bool:
    """Return whether something can be sent to an address."""
    try:
        _ADDRESS.validate_python(address)
    except ValidationError:
        return False
    return True


def _decompress(datagram: bytes) -> bytes:
    decompressor = zlib.decompressobj(zdict=_COMPRESSION_DICTIONARY)
    content = decompressor.decompress(datagram, _MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError(
            'not a heartbeat: truncated, or too long when decompressed'
        )
    return content


class HeartbeatSocket:
    """UDP socket that sends and receives heartbeats.

    :param address: ``ip:port`` to listen on.
    :param on_heartbeat: is awaited with each valid heartbeat; an exception
        is only logged.
    :param on_malformed: is called for each datagram that is dropped.
    """

    def __init__(
        self,
        address: str,
        on_heartbeat: HeartbeatHandler,
        on_malformed: Callable[[], None],
    ) -> None:
        """Store the parameters without opening the socket."""
        self._address = address
        self._on_heartbeat = on_heartbeat
        self._on_malformed = on_malformed
        self._socket: socket.socket | None = None
        self._task: Any = None

    async def __aenter__(self) -> Self:
        """Open the socket and start to receive."""
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.setblocking(False)
        datagrams.bind(split_address(self._address))
        self._socket = datagrams
        self._task = await curio.spawn(self._receive, datagrams, daemon=True)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the socket."""
        await self._task.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, datagram: bytes, address: str) -> None:
        """Send a datagram, or drop it when the socket can't send."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(datagram, split_address(address))
        except OSError as error:
            _LOGGER.debug('could not send heartbeat to %s: %s', address, error)

    def discard_queued(self) -> int:
        """Drop the datagrams that have arrived and are not processed yet.

        After a suspension they tell what was so before it, and nothing in them
        shows when they were sent.

        :returns: the number of dropped datagrams.
        """
        discarded_count = 0
        if self._socket is not None:
            while (
                discarded_count < _MAX_QUEUED_COUNT
                and _receive_nowait(self._socket) is not None
            ):
                discarded_count += 1
        return discarded_count

    async def _receive(self, datagrams: socket.socket) -> None:
        while True:
            await _read_wait(datagrams.fileno())
            for _ in range(_MAX_DATAGRAMS_PER_ROUND_COUNT):
                datagram = _receive_nowait(datagrams)
                if datagram is None:
                    break
                await self._handle_datagram(datagram)
            # Other tasks run, also while a burst of datagrams arrives.
            await curio.sleep(0)

    async def _handle_datagram(self, datagram: bytes) -> None:
        """Process a datagram; whatever it contains, the next one is read."""
        try:
            heartbeat = decode_heartbeat(datagram)
            check_heartbeat(heartbeat)
        except ValueError as error:
            self._on_malformed()
            _LOGGER.warning('dropped an invalid datagram: %s', error)
        except Exception:
            self._on_malformed()
            _LOGGER.exception('could not decode a datagram')
        else:
            await self._apply(heartbeat)

    async def _apply(self, heartbeat: Heartbeat) -> None:
        try:
            await self._on_heartbeat(heartbeat)
        except Exception:
            _LOGGER.exception('could not apply a heartbeat')


def _receive_nowait(datagrams: socket.socket) -> bytes | None:
    """Return the next datagram, None if there is none."""
    try:
        return datagrams.recv(_MAX_DATAGRAM_BYTES)
    except _WOULD_BLOCK:
        return None
    except OSError as error:
        # ICMP reports that an earlier datagram was sent to a closed port; the
        # socket remains usable.
        _LOGGER.debug('heartbeat socket reported an error: %s', error)
        return None
