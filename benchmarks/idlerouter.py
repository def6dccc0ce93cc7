"""Measures the processor time and wake-ups of a gateway without requests.

The gateway runs in a process of its own, with peers that another process plays
with datagrams recorded before.
"""

import multiprocessing
import random
import resource
import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Annotated, Any

import curio
import typer

from benchmarks.heartbeats import make_heartbeat
from dotterelhatch.core.peers import Heartbeat, heartbeat_plan
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.heartbeats import encode_heartbeat
from dotterelhatch.gateway.lag import TimedSelector
from dotterelhatch.gateway.settings import GatewaySettings
from dotterelhatch.ids import FailureDomain, RouterId
from dotterelhatch.platform.wire import PlatformWireFormat

_WARM_UP_SECONDS = 2.0
_SEED = 1


class _CountingSelector(TimedSelector):
    """Counts the rounds of the event loop."""

    rounds_count = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Wait for events and count the call."""
        self.rounds_count += 1
        return super().select(timeout)


def _free_port(kind: int) -> int:
    with socket.socket(type=kind) as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def _peers(routers: int, domains: int, port: int, is_busy: bool) -> Any:
    """Return a heartbeat of each peer; all peers listen on one socket."""
    template = make_heartbeat(34, 30, 4 if is_busy else 0)
    if not is_busy:
        template = replace(template, loads={}, totals=None)
    return [
        replace(
            template,
            router=RouterId(f'edge-{number}'),
            failure_domain=FailureDomain(f'domain-{number % domains}'),
            caller_address=f'127.1.{number // 250}.{number % 250 + 1}:8783',
            heartbeat_address=(
                f'127.1.{number // 250}.{number % 250 + 1}:{port}'
            ),
            snapshot_versions={},
        )
        for number in range(1, routers)
    ]


def _sent_by_peers(peers: list[Heartbeat]) -> Iterator[bytes]:
    sequence = 1
    while True:
        sequence += 1
        for peer in peers:
            yield encode_heartbeat(replace(peer, sequence=sequence))


def _play_peers(
    peers: list[Heartbeat], port: int, sink_port: int, per_second: float
) -> None:
    """Send at random times, until the process is terminated."""
    rng = random.Random(_SEED)
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        sender.bind(('0.0.0.0', sink_port))
        sender.setblocking(False)
        due_seconds = time.monotonic()
        for datagram in _sent_by_peers(peers):
            due_seconds += rng.expovariate(per_second)
            time.sleep(max(0, due_seconds - time.monotonic()))
            sender.sendto(datagram, ('127.0.0.1', port))


def _run_gateway(port: int, seconds: float, results: Any) -> None:
    addresses = {
        name: f'127.0.0.1:{_free_port(socket.SOCK_STREAM)}'
        for name in ('caller_address', 'control_address', 'metrics_address')
    }
    settings = GatewaySettings(
        router_id=RouterId('edge-0'),
        failure_domain=FailureDomain('domain-0'),
        region='anadolu',
        heartbeat_address=f'127.0.0.1:{port}',
        **addresses,  # type: ignore[arg-type]
    )
    selector = _CountingSelector()
    gateway = Gateway(settings, PlatformWireFormat(), selector=selector)

    async def run() -> None:
        async with gateway:
            await curio.sleep(_WARM_UP_SECONDS)
            before = resource.getrusage(resource.RUSAGE_SELF)
            rounds_count = selector.rounds_count
            await curio.sleep(seconds)
            after = resource.getrusage(resource.RUSAGE_SELF)
            results.put(
                (
                    after.ru_utime - before.ru_utime,
                    after.ru_stime - before.ru_stime,
                    after.ru_nvcsw - before.ru_nvcsw,
                    selector.rounds_count - rounds_count,
                )
            )

    curio.run(run, selector=selector)


def main(
    routers: Annotated[int, typer.Option()] = 63,
    domains: Annotated[int, typer.Option()] = 4,
    seconds: Annotated[float, typer.Option()] = 10,
    per_second: Annotated[float, typer.Option()] = 0,
    busy: Annotated[bool, typer.Option()] = False,
) -> None:
    """Print what a gateway takes that receives and sends heartbeats only."""
    port, sink_port = (_free_port(socket.SOCK_DGRAM) for _ in range(2))
    peers = _peers(routers, domains, sink_port, busy)
    if not per_second:
        near = sum(one.failure_domain == 'domain-0' for one in peers)
        elsewhere = len(peers) - near
        plan = heartbeat_plan(near, elsewhere)
        per_second = plan.sent_per_second(near, elsewhere)
    results: Any = multiprocessing.Queue()
    players = multiprocessing.Process(
        target=_play_peers, args=(peers, port, sink_port, per_second)
    )
    gateway = multiprocessing.Process(
        target=_run_gateway, args=(port, seconds, results)
    )
    gateway.start()
    players.start()
    user, system, switches, rounds = results.get(timeout=seconds + 30)
    players.terminate()
    gateway.join()
    print(
        f'{routers} routers, {per_second:.0f} datagrams/s received: '
        f'{100 * (user + system) / seconds:.2f} % of a core '
        f'(user {100 * user / seconds:.2f}, system '
        f'{100 * system / seconds:.2f}), {rounds / seconds:.0f} rounds of the '
        f'event loop and {switches / seconds:.0f} context switches a second'
    )


if __name__ == '__main__':
    typer.run(main)
