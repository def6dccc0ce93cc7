"""Measures the latency that a router adds and the highest rate it relays at.

The same streams go straight to simulated engines and through one router
process in turn, so that other load on the machine affects both alike.
Afterwards more streams than one core can relay show the highest rate.
"""

import json
import os
import pathlib
import time
from dataclasses import dataclass, field
from typing import Annotated, Any

import curio
import numpy as np
import typer

from demo.launcher import EngineSpeed, LocalFleet
from dotterelhatch.document import ConfigDocument

_PORT_OFFSET = 7000
_EXAMPLE = 'workshops'
_MODEL = 'usta-model'
_API_KEY = 'workshops-bakir-atolyesi-key'
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


@dataclass
class _StreamTimings:
    """Times to the first token and mean times between tokens of streams."""

    first_token_seconds: list[float] = field(default_factory=list)
    per_token_seconds: list[float] = field(default_factory=list)
    tokens_count: int = 0


async def _read_stream(
    address: str, tokens: int, timings: _StreamTimings
) -> None:
    body = json.dumps(
        {
            'model': _MODEL,
            'prompt': 'word ' * 20,
            'max_tokens': tokens,
            'emulated_tokens': tokens,
            'stream': True,
        }
    ).encode()
    request = (
        'POST /v1/completions HTTP/1.1\r\nHost: fleet\r\n'
        f'Authorization: Bearer {_API_KEY}\r\nConnection: close\r\n'
        'X-Request-Id: direct\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body
    host, _, port = address.rpartition(':')
    sent_seconds = time.perf_counter()
    arrival_seconds: list[float] = []
    sock = await curio.open_connection(host, int(port))
    async with sock.as_stream() as stream:
        await stream.write(request)
        await stream.flush()
        while line := await stream.readline():
            if line.startswith(b'data: {'):
                arrival_seconds.append(time.perf_counter())
    if len(arrival_seconds) != tokens:
        raise RuntimeError(
            f'stream ended after {len(arrival_seconds)} of {tokens} tokens'
        )
    timings.first_token_seconds.append(arrival_seconds[0] - sent_seconds)
    timings.per_token_seconds.append(
        (arrival_seconds[-1] - arrival_seconds[0]) / (tokens - 1)
    )
    timings.tokens_count += tokens


async def _read_streams(
    addresses: list[str], streams: int, tokens: int, timings: _StreamTimings
) -> None:
    async with curio.TaskGroup() as group:
        for number in range(streams):
            address = addresses[number % len(addresses)]
            await group.spawn(_read_stream, address, tokens, timings)


async def _compare_in_turns(
    router: str, engines: list[str], rounds: int, streams: int
) -> tuple[_StreamTimings, _StreamTimings]:
    direct, routed = _StreamTimings(), _StreamTimings()
    await _read_streams([router], streams, 10, _StreamTimings())
    for _ in range(rounds):
        await _read_streams(engines, streams, 60, direct)
        await _read_streams([router], streams, 60, routed)
    return direct, routed


def _raise_slot_counts(document: ConfigDocument) -> ConfigDocument:
    """Give each target enough slots for all streams of a round."""
    text = document.model_dump_json()
    content = json.loads(text)
    for section in (content['base'], *content['overlays'].values()):
        services = section.get('services') or ()
        service_list = (
            services.values() if isinstance(services, dict) else services
        )
        for service in service_list:
            for target in service.get('targets') or ():
                target['slots_count'] = 64
    return ConfigDocument.model_validate(content)


def _cpu_seconds(pid: int) -> float:
    stat_text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    stat_fields = stat_text.rpartition(')')[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / _TICKS_PER_SECOND


def _latency_percentiles(
    direct: list[float], routed: list[float]
) -> dict[str, float]:
    return {
        f'p{rank}_{name}_ms': round(float(value) * 1000, 3)
        for rank in (50, 95)
        for name, value in (
            ('direct', np.percentile(direct, rank)),
            ('routed', np.percentile(routed, rank)),
            (
                'added',
                np.percentile(routed, rank) - np.percentile(direct, rank),
            ),
        )
    }


def main(
    rounds: Annotated[int, typer.Option()] = 6,
    streams: Annotated[int, typer.Option()] = 40,
    relay_streams: Annotated[int, typer.Option()] = 300,
) -> None:
    """Print the added latency and the highest rate of one router.

    :param rounds: rounds of each kind in the comparison.
    :param streams: simultaneous streams per round.
    :param relay_streams: simultaneous streams for the highest rate.
    """
    fleet = LocalFleet(
        _EXAMPLE, _PORT_OFFSET, EngineSpeed(60.0), edit=_raise_slot_counts
    )
    with fleet:
        # Keep one router only, so that it coordinates all targets.
        for removed_router in fleet.routers[1:]:
            fleet.kill_router(removed_router)
        time.sleep(6)
        router = fleet.routers[0]
        engines = [
            target.address
            for service in fleet.services
            if service.id == _MODEL
            for target in service.targets
        ]
        direct, routed = curio.run(
            _compare_in_turns, router.caller_address, engines, rounds, streams
        )
        comparison: dict[str, Any] = {
            'streams': streams,
            'first_token': _latency_percentiles(
                direct.first_token_seconds, routed.first_token_seconds
            ),
            'per_token': _latency_percentiles(
                direct.per_token_seconds, routed.per_token_seconds
            ),
        }
        print(json.dumps(comparison), flush=True)
        timings = _StreamTimings()
        started_cpu_seconds = _cpu_seconds(router.pid)
        started_seconds = time.perf_counter()
        curio.run(
            _read_streams, [router.caller_address], relay_streams, 200, timings
        )
        elapsed_seconds = time.perf_counter() - started_seconds
        used_cpu_seconds = _cpu_seconds(router.pid) - started_cpu_seconds
        print(
            json.dumps(
                {
                    'relay_streams': relay_streams,
                    'tokens_per_second': round(
                        timings.tokens_count / elapsed_seconds
                    ),
                    'cpu_share': round(used_cpu_seconds / elapsed_seconds, 3),
                    'cpu_us_per_token': round(
                        used_cpu_seconds / timings.tokens_count * 1e6, 1
                    ),
                    'tokens_per_cpu_second': round(
                        timings.tokens_count / used_cpu_seconds
                    ),
                }
            )
        )


if __name__ == '__main__':
    typer.run(main)
