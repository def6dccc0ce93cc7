"""Heartbeats that are malformed, or have odd numbers and addresses."""

import contextlib
import math
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
from dotterelhatch.gateway.heartbeats import check_heartbeat, decode_heartbeat
from dotterelhatch.ids import FailureDomain, Incarnation, RouterId
from dotterelhatch.platform.wire import PlatformWireFormat
from tests.gateway_helpers import gateway_settings, run_async
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
