"""Measures the bytes and CPU time of calls between two routers on loopback.

A TCP relay counts the bytes of each direction, without TCP and IP headers.
The CPU time is that of one process that runs both ends. The relay isn't used
while CPU time is measured.
"""

import threading
import time
from collections.abc import Callable
from concurrent import futures
from typing import Annotated, Any

import curio
import grpc
import typer

from dotterelhatch.core import messages
from dotterelhatch.core.messages import (
    Frame,
    MemberRecord,
    MemberState,
    Message,
    RequestClass,
    UnitTotal,
)
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    Fingerprint,
    GrantId,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.net.peers import CallSucceeded, FrameReceived, PeerExchange
from dotterelhatch.settings import PlatformSettings, RouterSettings
from dotterelhatch.wire import exchange_pb2_grpc as wire_grpc
from dotterelhatch.wire.codec import encode_frame, frame_to_wire
from standins.relay import Relay

__all__ = ('main',)

_UNUSED_URL = 'http://127.0.0.1:1'
_INCARNATION = Incarnation(1_780_000_000_000)
_SERVICE = ServiceId('usta-model')
_TARGET = TargetId('usta-model-3')
_ORGANISATION = OrganisationId('organisation-07')


def _make_settings(name: str) -> RouterSettings:
    return RouterSettings(
        router_id=RouterId(name),
        failure_domain=FailureDomain('gaziantep'),
        region='anadolu',
        caller_address='127.0.0.1:0',
        peer_address='127.0.0.1:0',
        operations_address='127.0.0.1:0',
        platform=PlatformSettings(
            tables_url=_UNUSED_URL,
            objects_url=_UNUSED_URL,
            hosts_url=_UNUSED_URL,
        ),
    )


def _make_record(index: int) -> MemberRecord:
    return MemberRecord(
        router=RouterId(f'router-{index}'),
        incarnation=Incarnation(_INCARNATION + index),
        heartbeat=3,
        state=MemberState.LIVE,
        failure_domain=FailureDomain('gaziantep'),
        peer_address=f'10.20.30.{index}:7200',
        caller_address=f'10.20.30.{index}:7100',
        config_version=ConfigVersion(1500),
    )


def _make_frame(
    record_count: int = 0, frame_messages: tuple[Message, ...] = ()
) -> Frame:
    return Frame(
        sender=RouterId('router-0'),
        incarnation=_INCARNATION,
        receiver_incarnation=Incarnation(_INCARNATION + 1),
        sequence=40_000,
        config_version=ConfigVersion(1500),
        records=tuple(_make_record(index) for index in range(record_count)),
        messages=frame_messages,
    )


def _make_totals(count: int) -> tuple[UnitTotal, ...]:
    return tuple(
        UnitTotal(OrganisationId(f'organisation-{index:02}'), 1e6 + index)
        for index in range(count)
    )


def _sample_messages() -> dict[str, Message]:
    """Return messages of all kinds with values of typical sizes."""
    grant_id = GrantId(300_000)
    request_class = RequestClass.LONG
    held_grant = messages.HeldGrant(
        grant_id,
        RouterId('router-2'),
        _INCARNATION,
        _ORGANISATION,
        request_class,
        812.5,
    )
    return {
        'Demand': messages.Demand(
            _SERVICE, _ORGANISATION, 3, 12, (), 640.25, 1.5
        ),
        'Grant': messages.Grant(
            grant_id, _SERVICE, _ORGANISATION, _TARGET, request_class, 812.5
        ),
        'Release': messages.Release(grant_id, _TARGET, 790.25, False, False),
        'Charge': messages.Charge(grant_id, _TARGET, 790.25),
        'Held, no grants': messages.HeldGrants(_SERVICE, _TARGET, ()),
        'Held, 8 grants': messages.HeldGrants(
            _SERVICE, _TARGET, (held_grant,) * 8
        ),
        'FreeSlots': messages.FreeSlots(_SERVICE, 4),
        'LedgerReport, 16 rows': messages.LedgerReport(
            _SERVICE, _INCARNATION, 5000, _make_totals(16), ()
        ),
        'LedgerTotals, 16 rows': messages.LedgerTotals(
            _SERVICE, _INCARNATION, 5000, 123456.75, _make_totals(16)
        ),
        'ConfigOffer, 20000 bytes': messages.ConfigOffer(
            ConfigVersion(1500), bytes(20_000)
        ),
        'ConfigRequest': messages.ConfigRequest(ConfigVersion(1500)),
        'ConfigHeld': messages.ConfigAnnouncement(ConfigVersion(1500)),
        'CrashReport': messages.CrashReport(
            Fingerprint('0' * 64), _TARGET, False
        ),
        'TargetLeaving': messages.TargetLeaving(_TARGET, 'instance-12345'),
    }


def _mixed_messages(count: int) -> tuple[Message, ...]:
    """Return grants, releases and demands of eight organisations in turn."""
    mixed_messages: list[Message] = []
    for index in range(count):
        organisation = OrganisationId(f'organisation-{index % 8:02}')
        target = TargetId(f'usta-model-{index % 5}')
        grant_id = GrantId(300_000 + index)
        mixed_messages.append(
            (
                messages.Grant(
                    grant_id,
                    _SERVICE,
                    organisation,
                    target,
                    RequestClass.LONG,
                    812.5,
                ),
                messages.Release(grant_id, target, 790.25, False, False),
                messages.Demand(_SERVICE, organisation, 3, 12, (), 640.25, 1.5),
            )[index % 3]
        )
    return tuple(mixed_messages)


def _print_sizes() -> None:
    empty_bytes = len(encode_frame(_make_frame()))
    # A frame holds each name once, in a table that its messages refer to.
    print('protobuf bytes in a frame (first: with new names; next: without)')
    print(f'{"message":26}{"first":>8}{"next":>8}')
    print(f'{"frame without content":26}{empty_bytes:8}')
    one_bytes, two_bytes = (
        len(encode_frame(_make_frame(count))) for count in (1, 2)
    )
    print(f'{"MemberRecord":26}{two_bytes - one_bytes:8}')
    for name, message in _sample_messages().items():
        one_bytes, two_bytes = (
            len(encode_frame(_make_frame(0, (message,) * count)))
            for count in (1, 2)
        )
        print(f'{name:26}{one_bytes - empty_bytes:8}{two_bytes - one_bytes:8}')


async def _exchange_frames(
    caller: PeerExchange, callee: PeerExchange, address: str, frame: Frame
) -> None:
    caller.submit(address, frame)
    received = await callee.next_event()
    assert isinstance(received, FrameReceived)
    received.pending_reply.send(frame)
    reply = await caller.next_event()
    assert isinstance(reply, CallSucceeded), reply


async def _cpu_seconds_per_call(
    call: Callable[[], Any], count: int, pause_seconds: float
) -> float:
    """Return the CPU time per call."""
    started_seconds = time.process_time()
    for _ in range(count):
        await call()
        if pause_seconds:
            await curio.sleep(pause_seconds)
    return (time.process_time() - started_seconds) / count


async def _measure_exchange(calls: int, rate: float) -> None:
    cases = {
        'idle, 1 record': _make_frame(1),
        'idle, 16 records': _make_frame(16),
        '1 message': _make_frame(1, _mixed_messages(1)),
        '10 messages': _make_frame(1, _mixed_messages(10)),
        '100 messages': _make_frame(1, _mixed_messages(100)),
    }
    print('one call with the same frame as request and as reply')
    print(
        f'{"frame":18}{"protobuf":>9}{"request":>9}{"reply":>9}'
        f'{"CPU ms":>8}{"paced":>8}'
    )
    async with (
        PeerExchange(_make_settings('router-0')) as caller,
        PeerExchange(_make_settings('router-1')) as callee,
    ):
        for name, frame in cases.items():

            async def call(frame: Frame = frame) -> None:
                await _exchange_frames(
                    caller, callee, callee.bound_address, frame
                )

            await _cpu_seconds_per_call(call, 50, 0)
            unpaced_seconds = await _cpu_seconds_per_call(call, calls, 0)
            paced_seconds = await _cpu_seconds_per_call(
                call, int(rate * 5), 1 / rate
            )
            traffic = await _count_bytes(caller, callee, frame, calls)
            print(
                f'{name:18}{len(encode_frame(frame)):9}'
                f'{traffic[1]:9.1f}{traffic[2]:9.1f}'
                f'{unpaced_seconds * 1000:8.2f}{paced_seconds * 1000:8.2f}'
            )
        print(f'the first call on a connection adds {traffic[0]} bytes')
        started_seconds = time.process_time()
        await curio.sleep(5)
        idle_share = (time.process_time() - started_seconds) / 5
        print(f'CPU of both ends without calls: {idle_share:.2%} of a core')


async def _count_bytes(
    caller: PeerExchange, callee: PeerExchange, frame: Frame, calls: int
) -> tuple[int, float, float]:
    """Return bytes of connection set-up, then of a request and its reply."""
    with Relay(callee.bound_address) as relay:
        await _exchange_frames(caller, callee, relay.address, frame)
        await curio.sleep(0.1)
        first_bytes = (relay.to_server_bytes, relay.to_client_bytes)
        for _ in range(calls):
            await _exchange_frames(caller, callee, relay.address, frame)
        await curio.sleep(0.1)
        request_bytes = (relay.to_server_bytes - first_bytes[0]) / calls
        reply_bytes = (relay.to_client_bytes - first_bytes[1]) / calls
    return (
        round(sum(first_bytes) - request_bytes - reply_bytes),
        request_bytes,
        reply_bytes,
    )


class _EchoServicer(wire_grpc.PeersServicer):
    """Replies with the request, without curio."""

    def Exchange(self, request: Any, context: Any) -> Any:
        """Return the request as the reply."""
        return request


async def _compare_call_methods(calls: int, rate: float) -> None:
    """Compare a blocking call in a worker thread with a grpc future."""
    server_threads = futures.ThreadPoolExecutor(8)
    server = grpc.server(server_threads)
    wire_grpc.add_PeersServicer_to_server(_EchoServicer(), server)
    port = server.add_insecure_port('127.0.0.1:0')
    server.start()
    channel = grpc.insecure_channel(f'ipv4:127.0.0.1:{port}')
    stub = wire_grpc.PeersStub(channel)
    request = frame_to_wire(_make_frame(1))
    client_threads = futures.ThreadPoolExecutor(4)

    async def call_in_worker() -> None:
        client_threads.submit(stub.Exchange, request, timeout=5).result()

    async def call_with_future() -> None:
        completed = threading.Event()
        stub.Exchange.future(request, timeout=5).add_done_callback(
            lambda call: completed.set()
        )
        completed.wait()

    print('CPU ms of a call at both ends, without curio (back to back, paced)')
    for name, call in (
        ('worker thread', call_in_worker),
        ('future', call_with_future),
    ):
        await _cpu_seconds_per_call(call, 50, 0)
        unpaced_seconds = await _cpu_seconds_per_call(call, calls, 0)
        paced_seconds = await _cpu_seconds_per_call(
            call, int(rate * 5), 1 / rate
        )
        print(
            f'{name:18}{unpaced_seconds * 1000:8.2f}{paced_seconds * 1000:8.2f}'
        )
    channel.close()
    server.stop(None).wait()
    client_threads.shutdown()
    server_threads.shutdown()


def main(
    calls: Annotated[int, typer.Option(min=1)] = 1000,
    rate: Annotated[float, typer.Option(min=1, max=100)] = 20,
) -> None:
    """Print message sizes and the bytes and CPU time of calls.

    :param calls: calls back to back per case.
    :param rate: calls per second of the paced measurement.
    """
    _print_sizes()
    print()
    curio.run(_measure_exchange, calls, rate)
    print()
    curio.run(_compare_call_methods, calls, rate)


if __name__ == '__main__':
    typer.run(main)
