"""Heartbeats that are malformed, or have odd numbers and addresses."""

import contextlib
import math
import selectors
import socket
import threading
import time
import zlib
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.documents import DocumentPoint
from dotterelhatch.core.peers import Heartbeat
from dotterelhatch.gateway import heartbeats
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.heartbeats import (
    HeartbeatSocket,
    check_heartbeat,
    decode_heartbeat,
)
from dotterelhatch.ids import FailureDomain, Incarnation, RouterId
from dotterelhatch.net.stream import split_address
from dotterelhatch.platform.wire import PlatformWireFormat
from tests.gateway_helpers import free_port, gateway_settings, run_async
from tests.odd_json import odd_leaves

HEARTBEAT = Heartbeat(
    RouterId('r2'),
    Incarnation(1),
    1,
    FailureDomain('konya'),
    '10.0.0.1:1',
    '10.0.0.1:2',
    '10.0.0.1:3',
    True,
    True,
    {'op': 3},
    {},
)
FIELDS: dict[str, Any] = msgspec.to_builtins(HEARTBEAT)
USAGE = {'asked_tokens': 1, 'begun_tokens': 1}
LIMIT = {
    'target': 'i-1',
    'started_ms': 0,
    'limit_per_second': 1.0,
    'age_seconds': 0.0,
}


def pack(content: bytes) -> bytes:
    """Return a datagram with the given content."""
    compressor = zlib.compressobj(zdict=heartbeats._COMPRESSION_DICTIONARY)
    return compressor.compress(content) + compressor.flush()


def datagram(**changes: Any) -> bytes:
    """Return a heartbeat as a datagram with some fields changed."""
    return pack(msgspec.msgpack.encode(FIELDS | changes))


def nested_datagram() -> bytes:
    """Return a heartbeat with a deeply nested value in an unknown field."""
    content = bytearray(msgspec.msgpack.encode(FIELDS))
    # The first byte is a map with up to 15 fields, or three bytes for more.
    assert content[0] == 0xDE
    content[2] += 1
    return pack(bytes(content) + b'\xa1x' + b'\x91' * 100_000 + b'\x01')


ODD = {
    'nested': nested_datagram(),
    'caller-port': datagram(caller_address='10.0.0.1:99999'),
    'caller-name': datagram(caller_address='nowhere'),
    'control-port': datagram(control_address='10.0.0.1:0'),
    'heartbeat-port': datagram(heartbeat_address='10.0.0.1:-1'),
    'known-address': datagram(totals={'known_addresses': ['10.0.0.1:99999']}),
    'rate-no-number': datagram(requests_per_second=math.nan),
    'rate-infinite': datagram(requests_per_second=math.inf),
    'rate-negative': datagram(requests_per_second=-1.0),
    'point-negative': datagram(snapshot_points={'op': DocumentPoint(0, 1, -2)}),
    'point-beyond-signed': datagram(
        snapshot_points={'op': DocumentPoint(2**63, 1, 2)}
    ),
    'point-without-version': datagram(snapshot_points={'op': {'revision': 1}}),
    'version-negative': datagram(snapshot_versions={'op': -1}),
    'version-beyond-signed': datagram(snapshot_versions={'op': 2**63}),
    'load-negative': datagram(loads={'i-1': {'requests_count': -1}}),
    'load-large': datagram(loads={'i-1': {'unread_tokens': 2**62}}),
    'usage-negative': datagram(
        totals={'usages': {'a': USAGE | {'asked_tokens': -1}}}
    ),
    'plain-usage-large': datagram(
        totals={'plain_usages': {'s': {'a': USAGE | {'begun_tokens': 2**62}}}}
    ),
    'admissions-negative': datagram(
        totals={'admissions': {'s': {'r': {'refused_count': -5}}}}
    ),
    'limit-no-number': datagram(
        totals={'target_limits': [LIMIT | {'limit_per_second': math.nan}]}
    ),
    'limit-start-negative': datagram(
        totals={'target_limits': [LIMIT | {'started_ms': -1}]}
    ),
    'trials-large': datagram(
        totals={
            'crash_evidence': {
                'rejected': [
                    {
                        'causes': [1],
                        'age_seconds': 1.0,
                        'trials_count': 2**62,
                        'is_uncertain': False,
                    }
                ]
            }
        }
    ),
    'crash-run-negative': datagram(
        totals={
            'crash_evidence': {
                'crashes': [
                    {
                        'target': 'i-1',
                        'age_seconds': 1.0,
                        'requests': [[1]],
                        'runs_seconds': [-1.0],
                    }
                ]
            }
        }
    ),
    'claim-age-infinite': datagram(
        totals={'crash_evidence': {'claim_age_seconds': math.inf}}
    ),
    'spare-negative': datagram(
        sent_prompts=[{'target': 'i-1', 'parts': [], 'spare_tokens': -1}]
    ),
    'limit-age-infinite': datagram(
        totals={'target_limits': [LIMIT | {'age_seconds': math.inf}]}
    ),
    'speed-negative': datagram(
        totals={'target_speeds': [['i-1', 1, False, [[0, -1, 5]]]]}
    ),
    'speed-large': datagram(
        totals={'target_speeds': [['i-1', 1, False, [[0, 1, 2**62]]]]}
    ),
    'speed-start-negative': datagram(
        totals={'target_speeds': [['i-1', -1, False, []]]}
    ),
    'speed-not-whole': datagram(
        totals={'target_speeds': [['i-1', 1, False, [[0, 1, 0.5]]]]}
    ),
    'refused-age-no-number': datagram(refused=[['f', math.nan]]),
    'prompt-negative': datagram(
        sent_prompts=[
            {
                'target': 'i-1',
                'parts': [{'id': 'p', 'tokens_count': -1}],
                'spare_tokens': 1,
            }
        ]
    ),
    'crash-age-no-number': datagram(
        totals={
            'crash_evidence': {
                'completed': [{'cause': 1, 'age_seconds': math.nan}]
            }
        }
    ),
}


@pytest.mark.parametrize('odd', ODD.values(), ids=ODD)
def test_an_odd_heartbeat_is_dropped(odd: bytes) -> None:
    """Guards against one heartbeat that spoils what a router knows.

    The error of the decoder for nesting ended the receipt of all heartbeats.
    A number that is none stays in a sum of loads or usages after the report
    that had it, and an address is sent to and passed on to the peers.
    """
    check_heartbeat(decode_heartbeat(datagram()))
    with pytest.raises(ValueError):
        check_heartbeat(decode_heartbeat(odd))


@given(
    st.dictionaries(st.sampled_from(sorted(FIELDS)), odd_leaves(), max_size=3),
    st.binary(max_size=40),
)
def test_decoding_of_heartbeats_raises_its_error_only(
    changes: dict[str, Any], noise: bytes
) -> None:
    """Guards against errors of the decoder that its caller doesn't expect."""
    datagrams = [noise, pack(noise)]
    with contextlib.suppress(OverflowError, UnicodeEncodeError):
        datagrams.append(datagram(**changes))
    for received in datagrams:
        with contextlib.suppress(ValueError):
            check_heartbeat(decode_heartbeat(received))


@run_async
async def test_heartbeats_are_received_after_an_odd_one() -> None:
    """Guards against a router that takes all others for dead.

    An error while one heartbeat was decoded or applied ended the task that
    receives them.
    """
    gateway = Gateway(gateway_settings('r1'), PlatformWireFormat())
    odd = [*ODD.values(), b'noise']
    async with gateway:
        sender = gateway._heartbeats
        for content in [*odd, datagram()]:
            sender.send(content, gateway.settings.heartbeat_address)
        while not gateway.state.peers.live(gateway.state.clock()):
            await curio.sleep(0.01)
        counter = gateway.state.metrics.malformed_inputs.labels('heartbeat')
        assert counter._value.get() == len(odd)


@run_async
async def test_an_unforeseen_error_leaves_the_router_in_touch() -> None:
    """Guards against a router that hears nothing of its peers any more.

    The task that receives heartbeats ends at the first error that nobody
    expected, and the process goes on without it.
    """
    gateway = Gateway(gateway_settings('r1'), PlatformWireFormat())
    with pytest.MonkeyPatch.context() as patch:

        def fail(content: bytes) -> Heartbeat:
            patch.undo()
            raise RuntimeError('unforeseen')

        patch.setattr(heartbeats, 'decode_heartbeat', fail)
        async with gateway:
            for _ in range(2):
                gateway._heartbeats.send(
                    datagram(), gateway.settings.heartbeat_address
                )
            while not gateway.state.peers.live(gateway.state.clock()):
                await curio.sleep(0.01)
    counter = gateway.state.metrics.malformed_inputs.labels('heartbeat')
    assert counter._value.get() == 1


@run_async
async def test_heartbeats_of_before_a_suspension_are_dropped() -> None:
    """Guards against an old state of the peers that is taken for the present.

    The datagrams waited in the socket while the process did not run.
    """
    gateway = Gateway(gateway_settings('r1'), PlatformWireFormat())
    async with gateway:
        for _ in range(3):
            gateway._heartbeats.send(
                datagram(), gateway.settings.heartbeat_address
            )
        gateway.on_suspended(5)
        await curio.sleep(0.2)
        assert not gateway.state.peers.live(gateway.state.clock())
        gateway._heartbeats.send(datagram(), gateway.settings.heartbeat_address)
        while not gateway.state.peers.live(gateway.state.clock()):
            await curio.sleep(0.01)


@run_async
async def test_a_flood_of_datagrams_lets_other_tasks_run() -> None:
    """Guards against an event loop that only receives heartbeats."""
    gateway = Gateway(gateway_settings('r1'), PlatformWireFormat())
    address = gateway.settings.heartbeat_address
    async with gateway:
        handled_count = 0

        async def send_again(_: Heartbeat) -> None:
            nonlocal handled_count
            handled_count += 1
            gateway._heartbeats.send(datagram(), address)

        gateway._heartbeats._on_heartbeat = send_again
        gateway._heartbeats.send(datagram(), address)
        await curio.sleep(0.2)
        assert handled_count


class _CountingSelector(selectors.DefaultSelector):
    """Counts the rounds of an event loop."""

    rounds_count = 0

    def select(self, timeout: float | None = None) -> Any:
        """Wait for events and count the call."""
        self.rounds_count += 1
        return super().select(timeout)


def _rounds_of_burst(heartbeats_count: int) -> int:
    """Return the rounds of an event loop while heartbeats arrive singly."""
    selector = _CountingSelector()
    address = f'127.0.0.1:{free_port(socket.SOCK_DGRAM)}'
    received_count = 0

    def send_all() -> None:
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            for _ in range(heartbeats_count):
                sender.sendto(datagram(), split_address(address))
                time.sleep(0.002)

    async def receive() -> int:
        all_received = curio.Event()

        async def on_heartbeat(_: Heartbeat) -> None:
            nonlocal received_count
            received_count += 1
            if received_count == heartbeats_count:
                await all_received.set()

        heartbeat_socket = HeartbeatSocket(
            address, on_heartbeat, lambda: None, lambda: 1.0
        )
        async with heartbeat_socket:
            sender = threading.Thread(target=send_all)
            sender.start()
            await all_received.wait()
            sender.join()
        return selector.rounds_count

    return int(curio.run(receive, selector=selector))


def test_heartbeats_that_arrive_in_a_pause_are_read_together() -> None:
    """Guards against a router that wakes up for each heartbeat of each peer.

    The pause is many times as long as the sender takes, so that the count
    doesn't depend on the speed of the machine.
    """
    assert _rounds_of_burst(40) <= 15


def test_news_of_crashes_are_read_without_a_pause() -> None:
    """Guards against crash reports that wait while requests go on crashing.

    A pause of 40 ms between rounds let a suspected request reach a target
    before the report of a peer that it had crashed the one before.
    """
    news = datagram(
        totals={'crash_evidence': {'completed': []}},
        router='r3',
    )
    received: list[str] = []
    address = f'127.0.0.1:{free_port(socket.SOCK_DGRAM)}'

    async def on_heartbeat(heartbeat: Heartbeat) -> None:
        received.append(heartbeat.router)

    async def run() -> None:
        heartbeat_socket = HeartbeatSocket(
            address, on_heartbeat, lambda: None, lambda: 600.0
        )
        async with heartbeat_socket:
            heartbeat_socket.send(news, address)
            while len(received) < 1:
                await curio.sleep(0.01)
            heartbeat_socket.send(datagram(), address)
            while len(received) < 2:
                await curio.sleep(0.01)

    curio.run(curio.timeout_after, 60, run)
    assert received == ['r3', 'r2']
