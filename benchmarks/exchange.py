"""Bytes and CPU time of the exchange between two routers on loopback.

Bytes are counted at the sockets by a TCP relay, without TCP and IP headers.
CPU time is that of one process that holds both ends, without the relay.
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

_UNUSED = 'http://127.0.0.1:1'
_INCARNATION = Incarnation(1_780_000_000_000)
_SERVICE = ServiceId('usta-model')
_TARGET = TargetId('usta-model-3')
_ORGANISATION = OrganisationId('organisation-07')


def _settings(name: str) -> RouterSettings:
    return RouterSettings(
        router_id=RouterId(name),
        failure_domain=FailureDomain('gaziantep'),
        region='anadolu',
        caller_address='127.0.0.1:0',
        peer_address='127.0.0.1:0',
        operations_address='127.0.0.1:0',
        platform=PlatformSettings(
            tables_url=_UNUSED, objects_url=_UNUSED, hosts_url=_UNUSED
        ),
    )


def _record(index: int) -> MemberRecord:
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


def _frame(record_count: int = 0, content: tuple[Message, ...] = ()) -> Frame:
    return Frame(
        sender=RouterId('router-0'),
        incarnation=_INCARNATION,
        receiver_incarnation=Incarnation(_INCARNATION + 1),
        sequence=40_000,
        config_version=ConfigVersion(1500),
        records=tuple(_record(index) for index in range(record_count)),
        messages=content,
    )


def _totals(count: int) -> tuple[UnitTotal, ...]:
    return tuple(
        UnitTotal(OrganisationId(f'organisation-{index:02}'), 1e6 + index)
        for index in range(count)
    )


def _kinds() -> dict[str, Message]:
    """Return one message of each kind with values of usual sizes."""
    grant_id = GrantId(300_000)
    long = RequestClass.LONG
    held = messages.HeldGrant(
        grant_id, RouterId('router-2'), _INCARNATION, _ORGANISATION, long, 812.5
    )
    return {
        'Demand': messages.Demand(
            _SERVICE, _ORGANISATION, 3, 12, (), 640.25, 1.5
        ),
        'Grant': messages.Grant(
            grant_id, _SERVICE, _ORGANISATION, _TARGET, long, 812.5
        ),
        'Release': messages.Release(grant_id, _TARGET, 790.25, False, False),
        'Charge': messages.Charge(grant_id, _TARGET, 790.25),
        'Held, no grants': messages.HeldGrants(_SERVICE, _TARGET, ()),
        'Held, 8 grants': messages.HeldGrants(_SERVICE, _TARGET, (held,) * 8),
        'FreeSlots': messages.FreeSlots(_SERVICE, 4),
        'LedgerReport, 16 rows': messages.LedgerReport(
            _SERVICE, _INCARNATION, 5000, _totals(16), ()
        ),
        'LedgerTotals, 16 rows': messages.LedgerTotals(
            _SERVICE, _INCARNATION, 5000, 123456.75, _totals(16)
        ),
        'ConfigOffer, 20000 bytes': messages.ConfigOffer(
            ConfigVersion(1500), bytes(20_000)
        ),
        'ConfigRequest': messages.ConfigRequest(ConfigVersion(1500)),
        'ConfigHeld': messages.ConfigAcknowledgement(ConfigVersion(1500)),
        'CrashReport': messages.CrashReport(
            Fingerprint('0' * 64), _TARGET, False
        ),
        'TargetLeaving': messages.TargetLeaving(_TARGET, 'instance-12345'),
    }


def _mixed(count: int) -> tuple[Message, ...]:
    """Return grants, releases and demands of eight organisations."""
    mixed: list[Message] = []
    for index in range(count):
        organisation = OrganisationId(f'organisation-{index % 8:02}')
        target = TargetId(f'usta-model-{index % 5}')
        grant_id = GrantId(300_000 + index)
        mixed.append(
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
    return tuple(mixed)


def _print_sizes() -> None:
    empty_bytes = len(encode_frame(_frame()))
    print('protobuf bytes in a frame (first: with its names; next: without)')
    print(f'{"message":26}{"first":>8}{"next":>8}')
    print(f'{"frame without content":26}{empty_bytes:8}')
    one, two = (len(encode_frame(_frame(count))) for count in (1, 2))
    print(f'{"MemberRecord":26}{two - one:8}')
    for name, message in _kinds().items():
        one, two = (
            len(encode_frame(_frame(0, (message,) * count))) for count in (1, 2)
        )
        print(f'{name:26}{one - empty_bytes:8}{two - one:8}')


async def _exchange(
    caller: PeerExchange, callee: PeerExchange, address: str, frame: Frame
) -> None:
    caller.submit(address, frame)
    received = await callee.next_event()
    assert isinstance(received, FrameReceived)
    received.pending_reply.send(frame)
    answered = await caller.next_event()
    assert isinstance(answered, CallSucceeded), answered


async def _cpu_seconds(
    call: Callable[[], Any], count: int, pause_seconds: float
) -> float:
    """Return the CPU time of one call."""
    started_seconds = time.process_time()
    for _ in range(count):
        await call()
        if pause_seconds:
            await curio.sleep(pause_seconds)
    return (time.process_time() - started_seconds) / count


async def _measure_exchange(calls: int, rate: float) -> None:
    cases = {
        'idle, 1 record': _frame(1),
        'idle, 16 records': _frame(16),
        '1 message': _frame(1, _mixed(1)),
        '10 messages': _frame(1, _mixed(10)),
        '100 messages': _frame(1, _mixed(100)),
    }
    print('one exchange with the same frame in both directions')
    print(
        f'{"frame":18}{"protobuf":>9}{"request":>9}{"answer":>9}'
        f'{"CPU ms":>8}{"paced":>8}'
    )
    async with (
        PeerExchange(_settings('router-0')) as caller,
        PeerExchange(_settings('router-1')) as callee,
    ):
        for name, frame in cases.items():

            async def call(frame: Frame = frame) -> None:
                await _exchange(caller, callee, callee.bound_address, frame)

            await _cpu_seconds(call, 50, 0)
            fast = await _cpu_seconds(call, calls, 0)
            paced = await _cpu_seconds(call, int(rate * 5), 1 / rate)
            sizes = await _count_bytes(caller, callee, frame, calls)
            print(
                f'{name:18}{len(encode_frame(frame)):9}'
                f'{sizes[1]:9.1f}{sizes[2]:9.1f}'
                f'{fast * 1000:8.2f}{paced * 1000:8.2f}'
            )
        print(f'first exchange of a connection adds {sizes[0]} bytes')
        started_seconds = time.process_time()
        await curio.sleep(5)
        idle = (time.process_time() - started_seconds) / 5
        print(f'idle CPU of both ends: {idle:.2%} of a core')


async def _count_bytes(
    caller: PeerExchange, callee: PeerExchange, frame: Frame, calls: int
) -> tuple[int, float, float]:
    """Return set-up bytes, then request and answer bytes of one exchange."""
    with Relay(callee.bound_address) as relay:
        await _exchange(caller, callee, relay.address, frame)
        await curio.sleep(0.1)
        first = (relay.to_server_bytes, relay.to_client_bytes)
        for _ in range(calls):
            await _exchange(caller, callee, relay.address, frame)
        await curio.sleep(0.1)
        request = (relay.to_server_bytes - first[0]) / calls
        answer = (relay.to_client_bytes - first[1]) / calls
    return round(sum(first) - request - answer), request, answer


class _Echo(wire_grpc.PeersServicer):
    """Answers with the request, without curio."""

    def Exchange(self, request: Any, context: Any) -> Any:
        """Return the request."""
        return request


async def _measure_call_kinds(calls: int, rate: float) -> None:
    """Compare a blocking call in a worker thread with a future."""
    pool = futures.ThreadPoolExecutor(8)
    server = grpc.server(pool)
    wire_grpc.add_PeersServicer_to_server(_Echo(), server)
    port = server.add_insecure_port('127.0.0.1:0')
    server.start()
    channel = grpc.insecure_channel(f'ipv4:127.0.0.1:{port}')
    stub = wire_grpc.PeersStub(channel)
    request = frame_to_wire(_frame(1))
    workers = futures.ThreadPoolExecutor(4)

    async def blocking() -> None:
        workers.submit(stub.Exchange, request, timeout=5).result()

    async def future() -> None:
        ended = threading.Event()
        stub.Exchange.future(request, timeout=5).add_done_callback(
            lambda call: ended.set()
        )
        ended.wait()

    print('call without curio, CPU ms of both ends (back to back, paced)')
    for name, call in (('worker thread', blocking), ('future', future)):
        await _cpu_seconds(call, 50, 0)
        fast = await _cpu_seconds(call, calls, 0)
        paced = await _cpu_seconds(call, int(rate * 5), 1 / rate)
        print(f'{name:18}{fast * 1000:8.2f}{paced * 1000:8.2f}')
    channel.close()
    server.stop(None).wait()
    workers.shutdown()
    pool.shutdown()


def main(
    calls: Annotated[int, typer.Option(min=1)] = 1000,
    rate: Annotated[float, typer.Option(min=1, max=100)] = 20,
) -> None:
    """Print the tables.

    :param calls: exchanges back to back per case.
    :param rate: exchanges per second of the paced measurement.
    """
    _print_sizes()
    print()
    curio.run(_measure_exchange, calls, rate)
    print()
    curio.run(_measure_call_kinds, calls, rate)


if __name__ == '__main__':
    typer.run(main)
