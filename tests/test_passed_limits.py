"""How long a request that is passed on waits, by a clock of the test."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import curio
import pytest

from dotterelhatch.net import passing
from dotterelhatch.net.passing import PassedRequest, PassLimits, PassOutcome
from dotterelhatch.net.stream import WaitTimeoutError
from tests.gateway_helpers import run_async

LIMITS = PassLimits(response_seconds=4, write_seconds=30)
REQUEST = b'POST / HTTP/1.1\r\n\r\n'


@dataclass
class Peer:
    """A peer that sends parts after some seconds each, and then nothing.

    :param parts: the part that ends its connection is empty.
    :param arrived: what is found when a wait has timed out.
    :param waits: the timeout of each read.
    """

    parts: list[tuple[float, bytes]]
    arrived: bytes | None = None
    now_seconds: float = 100.0
    waits: list[float] = field(default_factory=list)
    is_reset: bool = False

    async def read(self, timeout_seconds: float) -> bytes:
        """Return the next part, if it arrives in time."""
        self.waits.append(timeout_seconds)
        seconds, part = self.parts.pop(0) if self.parts else (1e9, b'')
        self.now_seconds += min(seconds, timeout_seconds)
        if seconds > timeout_seconds:
            raise WaitTimeoutError
        return part

    def read_nowait(self) -> bytes | None:
        """Return what has arrived, once."""
        arrived, self.arrived = self.arrived, None
        return arrived

    async def write(self, content: bytes, timeout_seconds: float) -> None:
        """Accept the request."""

    def reset_on_close(self) -> None:
        """Note that bytes on their way are dropped."""
        self.is_reset = True

    def set_options(self, options: Any) -> None:
        """Do nothing."""

    def shutdown(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


@dataclass
class Caller:
    """A caller that waits for the response.

    :param is_reading: whether it takes what is sent.
    """

    is_reading: bool = True
    received: bytes = b''

    async def read(self) -> bytes:
        """Send nothing more."""
        await curio.Event().wait()
        return b''

    async def write(self, content: bytes, timeout_seconds: float) -> None:
        """Take a part, or never."""
        if not self.is_reading:
            await curio.Event().wait()
        self.received += content


def check(
    peer: Peer, caller: Caller, outcome: PassOutcome, received: bytes
) -> None:
    """Pass a request on to a peer and compare how it ends."""

    @run_async
    async def run() -> None:
        async def connect(*_: Any) -> Peer:
            return peer

        clock: Callable[[], float] = lambda: peer.now_seconds  # noqa: E731
        with (
            mock.patch.object(passing.SocketStream, 'connect', connect),
            mock.patch.object(passing.time, 'monotonic', clock),
        ):
            passed = PassedRequest(caller, 'ip:1', LIMITS)  # type: ignore
            assert await passed.run(REQUEST) is outcome

    run()
    assert caller.received == received


def test_a_silent_peer_is_waited_for_without_end() -> None:
    """Guards against a wait beyond the limit of the request."""
    peer = Peer([])
    check(peer, Caller(), PassOutcome.TIMED_OUT, b'')
    assert peer.waits == [pytest.approx(4.1)]
    assert peer.is_reset


def test_a_peer_that_falls_silent_halfway_is_waited_for() -> None:
    """Guards against a caller that waits for the second half."""
    peer = Peer([(1, b'half')])
    check(peer, Caller(), PassOutcome.TRUNCATED, b'half')
    assert peer.waits == [pytest.approx(4.1), pytest.approx(3.1)]
    assert peer.is_reset


def test_a_stream_that_goes_on_is_ended_by_the_limit() -> None:
    """Guards against a limit for frozen peers that sound ones run into."""
    peer = Peer([*[(0.25, b'event ')] * 40, (0.1, b'')])
    check(peer, Caller(), PassOutcome.COMPLETE, b'event ' * 40)
    assert peer.now_seconds > 100 + 2 * LIMITS.response_seconds


def test_a_late_stream_with_pauses_goes_on_for_ever() -> None:
    """Guards against the same for a peer that stops after the limit."""
    peer = Peer([*[(0.25, b'event ')] * 20, (1, b'never')])
    check(peer, Caller(), PassOutcome.TRUNCATED, b'event ' * 20)


def test_a_response_that_has_arrived_is_dropped() -> None:
    """Guards against a pause of this process that looks like one of the peer.

    The limit has passed meanwhile, and the response waits in the socket.
    """
    peer = Peer([(1e9, b''), (0, b'')], arrived=b'response')
    check(peer, Caller(), PassOutcome.COMPLETE, b'response')


def test_a_caller_that_does_not_read_holds_a_connection() -> None:
    """Guards against a caller that takes a byte in each timeout of a write."""
    peer = Peer([(4.05, b'response'), (0, b'')])
    check(peer, Caller(is_reading=False), PassOutcome.TRUNCATED, b'')
