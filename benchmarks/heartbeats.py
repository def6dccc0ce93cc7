"""Cost of heartbeats: ``python -m benchmarks.heartbeats``."""

import time
from typing import Annotated

import typer

from dotterelhatch.core.load import LoadBoard, TargetLoad
from dotterelhatch.core.peers import Heartbeat, heartbeat_interval_seconds
from dotterelhatch.core.prompts import PromptPart, SentPrompt
from dotterelhatch.core.shares import Usage
from dotterelhatch.gateway.heartbeats import decode_heartbeat, encode_heartbeat
from dotterelhatch.ids import (
    FailureDomain,
    Incarnation,
    OrganisationId,
    RouterId,
    TargetId,
)

_ROUNDS = 300


def make_heartbeat(
    targets: int, organisations: int, requests: float
) -> Heartbeat:
    """Return a heartbeat under load.

    :param requests: sent and refused since the last heartbeat.
    """
    parts = tuple(PromptPart(f'{one:08x}', 2500) for one in range(3))
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
            TargetId(f'i-{one:010x}'): TargetLoad(9, 12345, 123456)
            for one in range(targets)
        },
        usages={
            OrganisationId(f'org{one:04}'): Usage(123456, 123456)
            for one in range(organisations)
        },
        sent_prompts=tuple(
            SentPrompt(TargetId(f'i-{one:010x}'), parts, 123456)
            for one in range(round(requests))
        ),
        refused=tuple(
            (f'{one:032x}', 0.123) for one in range(round(requests / 2))
        ),
        known_addresses=tuple(f'10.1.0.{one}:7400' for one in range(8)),
    )


def main(
    routers: Annotated[int, typer.Option()] = 4,
    targets: Annotated[int, typer.Option()] = 8,
    organisations: Annotated[int, typer.Option()] = 16,
    requests_per_second: Annotated[float, typer.Option()] = 25,
) -> None:
    """Print the cost of one router's heartbeats."""
    interval = heartbeat_interval_seconds(routers - 1)
    heartbeat = make_heartbeat(
        targets, organisations, requests_per_second * interval
    )
    start = time.process_time()
    for _ in range(_ROUNDS):
        datagram = encode_heartbeat(heartbeat)
    encode_seconds = (time.process_time() - start) / _ROUNDS
    board = LoadBoard()
    start = time.process_time()
    for index in range(_ROUNDS):
        decoded = decode_heartbeat(datagram)
        board.on_report(RouterId(f'r{index % 50}'), decoded.loads, 0)
    decode_seconds = (time.process_time() - start) / _ROUNDS
    peers = routers - 1
    share = (encode_seconds + peers * decode_seconds) / interval
    print(
        f'{routers} routers: every {interval:.2f} s, {len(datagram)} bytes, '
        f'{peers / interval:.0f} datagrams/s, '
        f'{peers * len(datagram) / interval:.0f} bytes/s sent, encode '
        f'{encode_seconds * 1e6:.0f} us, decode and apply '
        f'{decode_seconds * 1e6:.0f} us, {100 * share:.2f} % of a core'
    )


if __name__ == '__main__':
    typer.run(main)
