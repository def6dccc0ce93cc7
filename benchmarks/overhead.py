"""Measures what a router adds to an answer of a target.

The same streams go straight to a simulated engine and through one router
process, in turns within one run, so that the load of the machine weighs on
both. Afterwards more streams than one core can relay show the highest rate.
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
_KEY = 'workshops-bakir-atolyesi-key'
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


@dataclass
class _Timing:
    first_seconds: list[float] = field(default_factory=list)
    token_seconds: list[float] = field(default_factory=list)
    tokens_count: int = 0


async def _stream(address: str, tokens: int, timing: _Timing) -> None:
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
        f'Authorization: Bearer {_KEY}\r\nConnection: close\r\n'
        'X-Request-Id: direct\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body
    host, _, port = address.rpartition(':')
    sent = time.perf_counter()
    arrivals: list[float] = []
    sock = await curio.open_connection(host, int(port))
    async with sock.as_stream() as stream:
        await stream.write(request)
        await stream.flush()
        while line := await stream.readline():
            if line.startswith(b'data: {'):
                arrivals.append(time.perf_counter())
    if len(arrivals) != tokens:
        raise RuntimeError(f'{len(arrivals)} of {tokens} tokens arrived')
    timing.first_seconds.append(arrivals[0] - sent)
    timing.token_seconds.append((arrivals[-1] - arrivals[0]) / (tokens - 1))
    timing.tokens_count += tokens


async def _round(
    addresses: list[str], streams: int, tokens: int, timing: _Timing
) -> None:
    async with curio.TaskGroup() as group:
        for number in range(streams):
            address = addresses[number % len(addresses)]
            await group.spawn(_stream, address, tokens, timing)


async def _alternate(
    router: str, engines: list[str], rounds: int, streams: int
) -> tuple[_Timing, _Timing]:
    direct, routed = _Timing(), _Timing()
    await _round([router], streams, 10, _Timing())
    for _ in range(rounds):
        await _round(engines, streams, 60, direct)
        await _round([router], streams, 60, routed)
    return direct, routed


def _one_target_set(document: ConfigDocument) -> ConfigDocument:
    """Give each target the slots of a whole round."""
    text = document.model_dump_json()
    content = json.loads(text)
    for part in (content['base'], *content['overlays'].values()):
        services = part.get('services') or ()
        every = services.values() if isinstance(services, dict) else services
        for service in every:
            for target in service.get('targets') or ():
                target['slots_count'] = 64
    return ConfigDocument.model_validate(content)


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text()
    parts = fields.rpartition(')')[2].split()
    return (int(parts[11]) + int(parts[12])) / _TICKS_PER_SECOND


def _added(direct: list[float], routed: list[float]) -> dict[str, float]:
    return {
        f'p{share}_{name}_ms': round(float(value) * 1000, 3)
        for share in (50, 95)
        for name, value in (
            ('direct', np.percentile(direct, share)),
            ('routed', np.percentile(routed, share)),
            (
                'added',
                np.percentile(routed, share) - np.percentile(direct, share),
            ),
        )
    }


def main(
    rounds: Annotated[int, typer.Option()] = 6,
    streams: Annotated[int, typer.Option()] = 40,
    relay_streams: Annotated[int, typer.Option()] = 300,
) -> None:
    """Print the added times and the highest rate of one router."""
    fleet = LocalFleet(
        _EXAMPLE, _PORT_OFFSET, EngineSpeed(60.0), edit=_one_target_set
    )
    with fleet:
        # One router, so that no other one is home to a target.
        for other in fleet.routers[1:]:
            fleet.kill_router(other)
        time.sleep(6)
        router = fleet.routers[0]
        engines = [
            target.address
            for service in fleet.services
            if service.id == _MODEL
            for target in service.targets
        ]
        direct, routed = curio.run(
            _alternate, router.caller_address, engines, rounds, streams
        )
        figures: dict[str, Any] = {
            'streams': streams,
            'first_token': _added(direct.first_seconds, routed.first_seconds),
            'per_token': _added(direct.token_seconds, routed.token_seconds),
        }
        print(json.dumps(figures), flush=True)
        timing = _Timing()
        cpu = _cpu_seconds(router.pid)
        start = time.perf_counter()
        curio.run(_round, [router.caller_address], relay_streams, 200, timing)
        span = time.perf_counter() - start
        used = _cpu_seconds(router.pid) - cpu
        print(
            json.dumps(
                {
                    'relay_streams': relay_streams,
                    'tokens_per_second': round(timing.tokens_count / span),
                    'cpu_share': round(used / span, 3),
                    'cpu_us_per_token': round(
                        used / timing.tokens_count * 1e6, 1
                    ),
                    'tokens_per_cpu_second': round(timing.tokens_count / used),
                }
            )
        )


if __name__ == '__main__':
    typer.run(main)
