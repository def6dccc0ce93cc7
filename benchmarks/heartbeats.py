"""Cost of heartbeats: ``python -m benchmarks.heartbeats``."""

import random
import time
from dataclasses import replace
from typing import Annotated

import typer

from dotterelhatch.core.admission import AdmissionCounts
from dotterelhatch.core.fairshare import Usage
from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.peers import (
    Heartbeat,
    WindowTotals,
    heartbeat_interval_seconds,
)
from dotterelhatch.core.prompts import PromptPart, SentPrompt
from dotterelhatch.gateway.heartbeats import decode_heartbeat, encode_heartbeat
from dotterelhatch.ids import (
    FailureDomain,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)

_ROUNDS = 2000
_SEED = 1
_PARTS_COUNT = 3


def make_heartbeat(
    targets: int, organisations: int, requests: float
) -> Heartbeat:
    """Return a heartbeat under load.

    :param requests: sent and refused since the last heartbeat.
    """
    # Repeated names and numbers would compress better than real ones.
    rng = random.Random(_SEED)
    names = [f'i-{_name(rng)}' for _ in range(targets)]
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
            for name in names
        },
        totals=_make_totals(rng, organisations),
        sent_prompts=tuple(
            SentPrompt(
                TargetId(rng.choice(names)),
                tuple(
                    PromptPart(_name(rng), rng.randrange(6000))
                    for _ in range(_PARTS_COUNT)
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
            OrganisationId(f'org{one:04}'): Usage(
                rng.randrange(1_000_000), rng.randrange(1_000_000)
            )
            for one in range(organisations)
        },
        admissions={
            ServiceId(f'service-{service}'): {
                f'r-{_name(rng)}': AdmissionCounts(
                    rng.randrange(50), rng.randrange(200)
                )
                for _ in range(3)
            }
            for service in range(2)
        },
        known_addresses=tuple(f'10.1.0.{one}:7400' for one in range(8)),
    )


def _name(rng: random.Random) -> str:
    return f'{rng.getrandbits(40):010x}'


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
    # Every second heartbeat has totals.
    pair = (heartbeat, replace(heartbeat, totals=None))
    start = time.process_time()
    for index in range(_ROUNDS):
        encode_heartbeat(pair[index % 2])
    encode_seconds = (time.process_time() - start) / _ROUNDS
    datagrams = [encode_heartbeat(one) for one in pair]
    size_bytes = sum(map(len, datagrams)) / 2
    board = LoadTracker()
    start = time.process_time()
    for index in range(_ROUNDS):
        decoded = decode_heartbeat(datagrams[index % 2])
        board.on_report(RouterId(f'r{index % 50}'), decoded.loads, 0)
    decode_seconds = (time.process_time() - start) / _ROUNDS
    peers = routers - 1
    share = (encode_seconds + peers * decode_seconds) / interval
    print(
        f'{routers} routers: every {interval:.2f} s, {size_bytes:.0f} bytes, '
        f'{peers / interval:.0f} datagrams/s, '
        f'{peers * size_bytes / interval:.0f} bytes/s sent, encode '
        f'{encode_seconds * 1e6:.0f} us, decode and apply '
        f'{decode_seconds * 1e6:.0f} us, {100 * share:.2f} % of a core'
    )


if __name__ == '__main__':
    typer.run(main)
