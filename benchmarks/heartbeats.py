"""Measures size and CPU time of the heartbeats between gateways."""

import random
import socket
import time
from dataclasses import replace
from typing import Annotated

import curio
import typer

from dotterelhatch.core.admission import AdmissionCounts
from dotterelhatch.core.crashcauses import (
    CompletedCause,
    CrashEvidence,
    CrashView,
    RejectedSet,
)
from dotterelhatch.core.fairshare import Usage
from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.peers import (
    Heartbeat,
    WindowTotals,
    heartbeat_interval_seconds,
)
from dotterelhatch.core.prompts import PromptPart, SentPrompt
from dotterelhatch.core.targetlimits import LimitReport
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.heartbeats import (
    HeartbeatSocket,
    decode_heartbeat,
    encode_heartbeat,
)
from dotterelhatch.gateway.settings import GatewaySettings
from dotterelhatch.ids import (
    CauseId,
    FailureDomain,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.platform.wire import PlatformWireFormat

_HEARTBEATS_COUNT = 2000
_SEED = 1
_PARTS_PER_PROMPT_COUNT = 3
_HEARTBEATS_PER_PEER_COUNT = 6


def make_heartbeat(
    targets: int, organisations: int, requests: float
) -> Heartbeat:
    """Return a heartbeat as a gateway under load sends it.

    :param requests: number of requests sent to targets since the previous
        heartbeat; half as many were rejected.
    """
    # Random names and numbers, because repeated ones would compress better
    # than those of a real gateway.
    rng = random.Random(_SEED)
    target_names = [f'i-{_random_hex(rng)}' for _ in range(targets)]
    return Heartbeat(
        router=RouterId('edge-gaziantep-1'),
        incarnation=Incarnation(1783006898303),
        sequence=1234,
        failure_domain=FailureDomain('gaziantep'),
        caller_address='10.1.0.33:8783',
        control_address='10.1.0.33:8785',
        heartbeat_address='10.1.0.33:7400',
        is_ready=True,
        is_accepting=True,
        snapshot_versions={'op': 1234, 'servers': 1250},
        loads={
            TargetId(name): TargetLoad(
                rng.randrange(20), rng.randrange(60_000), rng.randrange(200_000)
            )
            for name in target_names
        },
        totals=_make_totals(rng, organisations),
        sent_prompts=tuple(
            SentPrompt(
                TargetId(rng.choice(target_names)),
                tuple(
                    PromptPart(_random_hex(rng), rng.randrange(6000))
                    for _ in range(_PARTS_PER_PROMPT_COUNT)
                ),
                rng.randrange(200_000),
            )
            for _ in range(round(requests))
        ),
        refused=tuple(
            (f'{rng.getrandbits(128):032x}', round(rng.random(), 3))
            for _ in range(round(requests / 2))
        ),
    )


def _make_totals(rng: random.Random, organisations: int) -> WindowTotals:
    return WindowTotals(
        usages={
            OrganisationId(f'org{index:04}'): Usage(
                rng.randrange(1_000_000), rng.randrange(1_000_000)
            )
            for index in range(organisations)
        },
        admissions={
            ServiceId(f'service-{service}'): {
                f'r-{_random_hex(rng)}': AdmissionCounts(
                    rng.randrange(50), rng.randrange(200)
                )
                for _ in range(3)
            }
            for service in range(2)
        },
        known_addresses=tuple(f'10.1.0.{index}:7400' for index in range(8)),
    )


def _make_evidence(rng: random.Random, crashes: int) -> CrashEvidence:
    """Return what a router knows after crashes of targets.

    It has seen all of them, with five requests of four causes at each.
    """

    def cause() -> CauseId:
        return CauseId(rng.getrandbits(64))

    return CrashEvidence(
        tuple(
            CrashView(
                TargetId(f'i-{_random_hex(rng)}'),
                round(rng.random(), 3),
                tuple(tuple(cause() for _ in range(4)) for _ in range(5)),
            )
            for _ in range(crashes)
        ),
        (RejectedSet((cause(),), round(rng.random(), 3), 0, False),),
        tuple(
            CompletedCause(cause(), round(rng.random(), 3)) for _ in range(64)
        ),
    )


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def _peer_datagrams(
    peers: int, targets: int, organisations: int, requests: float
) -> list[bytes]:
    """Return heartbeats of peers, whose counts change in every one."""
    rng = random.Random(_SEED)
    template = make_heartbeat(targets, organisations, requests)
    datagrams = []
    for sequence in range(1, _HEARTBEATS_PER_PEER_COUNT + 1):
        for peer in range(peers):
            address = f'10.1.{peer // 250}.{peer % 250}'
            loads = {
                target: TargetLoad(1, rng.randrange(9000), rng.randrange(9000))
                for target in rng.sample(
                    sorted(template.loads), min(targets, round(2 * requests))
                )
            }
            heartbeat = replace(
                template,
                router=RouterId(f'edge-{peer}'),
                sequence=sequence,
                caller_address=f'{address}:8783',
                control_address=f'{address}:8785',
                heartbeat_address=f'{address}:7400',
                snapshot_versions={},
                loads=loads,
                totals=_make_totals(
                    rng, min(organisations, round(8 * requests))
                ),
            )
            datagrams.append(encode_heartbeat(heartbeat))
    return datagrams


def measure_receiving(
    routers: int, targets: int, organisations: int, requests: float
) -> float:
    """Return the processor time that a gateway needs for one heartbeat.

    Each peer has a part of the load: twice as many requests in progress as it
    sends between two heartbeats, and requests of eight times as many within the
    window of the shares.
    """
    address = _free_address()
    gateway = Gateway(
        GatewaySettings(
            router_id=RouterId('router-1'),
            failure_domain=FailureDomain('konya'),
            region='anadolu',
            caller_address=address,
            control_address=address,
            heartbeat_address=address,
            metrics_address=address,
        ),
        PlatformWireFormat(),
    )
    heartbeats = HeartbeatSocket(address, gateway._on_heartbeat, lambda: None)
    datagrams = _peer_datagrams(routers - 1, targets, organisations, requests)

    async def receive_all() -> None:
        for datagram in datagrams:
            await heartbeats._handle_datagram(datagram)

    started_seconds = time.process_time()
    curio.run(receive_all)
    return (time.process_time() - started_seconds) / len(datagrams)


def _random_hex(rng: random.Random) -> str:
    return f'{rng.getrandbits(40):010x}'


def main(
    routers: Annotated[int, typer.Option()] = 4,
    targets: Annotated[int, typer.Option()] = 8,
    organisations: Annotated[int, typer.Option()] = 16,
    requests_per_second: Annotated[float, typer.Option()] = 25,
    crashes: Annotated[int, typer.Option()] = 0,
    limits: Annotated[int, typer.Option()] = 0,
) -> None:
    """Print the cost of sending and receiving the heartbeats of a router."""
    interval_seconds = heartbeat_interval_seconds(routers - 1)
    heartbeat = make_heartbeat(
        targets, organisations, requests_per_second * interval_seconds
    )
    rng = random.Random(_SEED)
    heartbeat = replace(
        heartbeat,
        totals=replace(
            heartbeat.totals or WindowTotals(),
            crash_evidence=_make_evidence(rng, crashes) if crashes else None,
            target_limits=tuple(
                LimitReport(
                    TargetId(f'i-{_random_hex(rng)}'),
                    1783006898303,
                    round(rng.random() * 9, 1),
                    round(rng.random(), 3),
                )
                for _ in range(limits)
            ),
        ),
    )
    # Every second heartbeat has totals.
    sent_heartbeats = (heartbeat, replace(heartbeat, totals=None))
    started_seconds = time.process_time()
    for index in range(_HEARTBEATS_COUNT):
        encode_heartbeat(sent_heartbeats[index % 2])
    encode_seconds = (time.process_time() - started_seconds) / _HEARTBEATS_COUNT
    datagrams = [encode_heartbeat(sent) for sent in sent_heartbeats]
    size_bytes = sum(map(len, datagrams)) / 2
    load_tracker = LoadTracker()
    started_seconds = time.process_time()
    for index in range(_HEARTBEATS_COUNT):
        decoded = decode_heartbeat(datagrams[index % 2])
        load_tracker.on_report(RouterId(f'r{index % 50}'), decoded.loads, 0)
    decode_seconds = (time.process_time() - started_seconds) / _HEARTBEATS_COUNT
    peers_count = routers - 1
    cpu_share = (
        encode_seconds + peers_count * decode_seconds
    ) / interval_seconds
    print(
        f'{routers} routers: every {interval_seconds:.2f} s, '
        f'{size_bytes:.0f} bytes, '
        f'{peers_count / interval_seconds:.0f} datagrams/s, '
        f'{peers_count * size_bytes / interval_seconds:.0f} bytes/s sent, '
        'encode '
        f'{encode_seconds * 1e6:.0f} us, decode and apply '
        f'{decode_seconds * 1e6:.0f} us, {100 * cpu_share:.2f} % of a core'
    )
    received_seconds = measure_receiving(
        routers,
        targets,
        organisations,
        max(1, requests_per_second * interval_seconds),
    )
    received_share = peers_count * received_seconds / interval_seconds
    print(
        'received and applied by a gateway: '
        f'{received_seconds * 1e6:.0f} us a heartbeat, '
        f'{100 * received_share:.2f} % of a core'
    )


if __name__ == '__main__':
    typer.run(main)
