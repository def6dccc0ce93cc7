"""Tests of the calls between routers over loopback."""

import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Coroutine
from typing import Any

import curio
import grpc
import pytest

from demo.launcher import child_environment
from dotterelhatch.core.messages import Charge, Frame
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    GrantId,
    Incarnation,
    RouterId,
    TargetId,
)
from dotterelhatch.net.peers import (
    CallFailed,
    CallFailure,
    CallSucceeded,
    FrameReceived,
    PeerExchange,
)
from dotterelhatch.settings import (
    ExchangeSettings,
    PlatformSettings,
    RouterSettings,
)
from standins.relay import Relay

_UNUSED = 'http://127.0.0.1:1'


def _settings(
    name: str, address: str = '127.0.0.1:0', timeout_seconds: float = 10.0
) -> RouterSettings:
    return RouterSettings(
        router_id=RouterId(name),
        failure_domain=FailureDomain('konya'),
        region='anadolu',
        caller_address='127.0.0.1:0',
        peer_address=address,
        operations_address='127.0.0.1:0',
        platform=PlatformSettings(
            tables_url=_UNUSED, objects_url=_UNUSED, hosts_url=_UNUSED
        ),
        exchange=ExchangeSettings(call_timeout_seconds=timeout_seconds),
    )


def _frame(sender: str, sequence: int = 1) -> Frame:
    return Frame(
        sender=RouterId(sender),
        incarnation=Incarnation(1),
        receiver_incarnation=Incarnation(0),
        sequence=sequence,
        config_version=ConfigVersion(0),
        records=(),
        messages=(Charge(GrantId(1), TargetId('t'), 2.25),),
    )


def _run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test and check that all threads it started have ended."""
    before = set(threading.enumerate())
    curio.run(test)
    for thread in set(threading.enumerate()) - before:
        thread.join(10)
        assert not thread.is_alive()


async def _send_reply(exchange: PeerExchange, frame: Frame) -> Frame:
    event = await exchange.next_event()
    assert isinstance(event, FrameReceived)
    assert event.pending_reply.send(frame)
    return event.frame


def test_exchange_in_both_directions() -> None:
    """Guards against frames that are lost or delivered to the wrong router.

    The server and the client of a router put their events into one queue.
    """

    async def scenario() -> None:
        async with (
            PeerExchange(_settings('a')) as first,
            PeerExchange(_settings('b')) as second,
        ):
            for caller, callee in ((first, second), (second, first)) * 2:
                address = callee.bound_address
                caller.submit(address, _frame('caller'))
                assert caller.has_call_in_flight(address)
                received = await _send_reply(callee, _frame('callee', 7))
                assert received == _frame('caller')
                assert await caller.next_event() == CallSucceeded(
                    address, _frame('callee', 7)
                )
                assert not caller.has_call_in_flight(address)

    _run(scenario)


def test_second_call_in_flight_is_rejected() -> None:
    """Guards against more than one call in flight per peer.

    Each call runs in its own thread, so a second one could overtake the first.
    """

    async def scenario() -> None:
        async with (
            PeerExchange(_settings('a')) as first,
            PeerExchange(_settings('b')) as second,
        ):
            first.submit(second.bound_address, _frame('a'))
            with pytest.raises(DotterelhatchError) as caught:
                first.submit(second.bound_address, _frame('a'))
            assert caught.value.kind is ErrorKind.INTERNAL

    _run(scenario)


def test_unreachable_peer() -> None:
    """Guards against a refused connection that is not reported as such.

    The router must be able to distinguish it from a timeout.
    """

    async def scenario() -> None:
        async with PeerExchange(_settings('a')) as exchange:
            with socket.socket() as free:
                # Bound but not listening, so connections are refused.
                free.bind(('127.0.0.1', 0))
                address = '127.0.0.1:{}'.format(free.getsockname()[1])
                exchange.submit(address, _frame('a'))
                assert await exchange.next_event() == CallFailed(
                    address, CallFailure.UNREACHABLE
                )

    _run(scenario)


def test_dead_connection_is_not_reused() -> None:
    """Guards against further calls on a connection that is dead.

    The relay stops forwarding without closing the connection, so the call
    times out; the next call must open a new connection.
    """

    async def scenario() -> None:
        async with (
            PeerExchange(_settings('a', timeout_seconds=2)) as first,
            PeerExchange(_settings('b')) as second,
        ):
            with Relay(second.bound_address) as relay:
                address = relay.address
                for expected_count in (1, 2):
                    first.submit(address, _frame('a'))
                    await _send_reply(second, _frame('b'))
                    succeeded = CallSucceeded(address, _frame('b'))
                    assert await first.next_event() == succeeded
                    assert relay.connection_count == expected_count
                    relay.silence()
                    first.submit(address, _frame('a'))
                    assert await first.next_event() == CallFailed(
                        address, CallFailure.TIMEOUT
                    )

    _run(scenario)


def test_call_without_a_reply_fails() -> None:
    """Guards against a call that hangs when no reply is sent.

    The peer receives the frame, but its router does not reply in time.
    """

    async def scenario() -> None:
        async with (
            PeerExchange(_settings('a')) as first,
            PeerExchange(_settings('b', timeout_seconds=0.1)) as second,
        ):
            first.submit(second.bound_address, _frame('a'))
            received = await second.next_event()
            assert isinstance(received, FrameReceived)
            failed = await first.next_event()
            assert failed == CallFailed(
                second.bound_address, CallFailure.REFUSED
            )
            assert not received.pending_reply.send(_frame('b'))

    _run(scenario)


def test_malformed_and_oversized_frames_are_rejected() -> None:
    """Guards against malformed input that is passed on or ends a thread.

    The frames are empty and one byte above the limit of 4 MiB.
    """

    def send(address: str, encoded: bytes) -> object:
        with grpc.insecure_channel(address) as channel:
            call = channel.unary_unary('/dotterelhatch.Peers/Exchange')
            with pytest.raises(grpc.RpcError) as caught:
                call(encoded, timeout=10)
            return caught.value.code()

    async def scenario() -> None:
        async with PeerExchange(_settings('a')) as exchange:
            address = exchange.bound_address
            malformed = await curio.run_in_thread(send, address, b'')
            large = await curio.run_in_thread(
                send, address, bytes(4 * 1024 * 1024 + 1)
            )
        assert malformed is grpc.StatusCode.INVALID_ARGUMENT
        assert large is grpc.StatusCode.RESOURCE_EXHAUSTED

    _run(scenario)


def test_stop_with_calls_in_progress() -> None:
    """Guards against a stop that waits for calls or leaves threads running.

    Both routers have a call to each other in flight when one stops.
    """

    async def scenario() -> None:
        async with PeerExchange(_settings('b')) as second:
            async with PeerExchange(_settings('a')) as first:
                first.submit(second.bound_address, _frame('a'))
                assert isinstance(await second.next_event(), FrameReceived)
                second.submit(first.bound_address, _frame('b'))
                assert isinstance(await first.next_event(), FrameReceived)
            assert isinstance(await second.next_event(), CallFailed)
            with pytest.raises(DotterelhatchError) as caught:
                first.submit(second.bound_address, _frame('a'))
            assert caught.value.kind is ErrorKind.STOPPING

    _run(scenario)


def test_address_in_use() -> None:
    """Guards against two routers that listen on the same address.

    With SO_REUSEPORT the kernel would distribute the calls of peers to both.
    """

    async def scenario() -> None:
        async with PeerExchange(_settings('a')) as first:
            second = PeerExchange(_settings('b', first.bound_address))
            with pytest.raises(DotterelhatchError) as caught:
                await second.__aenter__()
            assert caught.value.kind is ErrorKind.SETTINGS_INVALID

    _run(scenario)


def run_cancelled_wait() -> None:
    """Run the check of :func:`test_stop_after_cancelled_wait`."""
    curio.run(_cancel_before_wait)


async def _cancel_before_wait() -> None:
    """Cancel a wait for events before it starts, then complete a call."""
    async with PeerExchange(_settings('a')) as exchange:
        waiting = await curio.spawn(exchange.next_event)
        await waiting.cancel()
        exchange.submit('127.0.0.1:1', _frame('a'))


def test_stop_after_cancelled_wait() -> None:
    """Guards against a worker thread that deadlocks and blocks the exit.

    A wait that is cancelled as it starts could leave its waiter in the event
    queue. The check runs in a separate process, so that the timeout can end it.
    """
    code = 'from tests import test_peers as t; t.run_cancelled_wait()'
    subprocess.run(
        [sys.executable, '-c', code],
        check=True,
        timeout=60,
        env=child_environment(),
    )
