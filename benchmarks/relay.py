"""Measures the CPU time that a router spends per relayed chunk.

Three processes run on loopback: a source streams events, a relay built from
the HTTP server and the target client of a router forwards them, and the
measuring process reads the streams.
"""

import json
import resource
import subprocess
import sys
import time
from typing import Annotated, Any

import curio
import typer

from dotterelhatch.fleet import ServiceLimits
from dotterelhatch.net.http import (
    HttpServer,
    Response,
    ServerExchange,
    fetch,
)
from dotterelhatch.net.targets import TargetClient

__all__ = ('main',)

_EVENT_TEMPLATE = b'data: {"id": "cmpl-1", "choices": [{"text": "%06d "}]}\n\n'


async def _stream_events(exchange: ServerExchange) -> None:
    """Stream events with a fixed pause after each.

    The path is ``/<number of events>/<pause in seconds>``.
    """
    count, pace_seconds = exchange.head.path.strip('/').split('/')
    request_id = exchange.head.header('X-Request-Id') or ''
    await exchange.start_stream(200, (('X-Request-Id', request_id),))
    for number in range(int(count)):
        await exchange.send_chunk(_EVENT_TEMPLATE % number)
        await curio.sleep(float(pace_seconds))
    await exchange.end_stream()


class _ChunkRelay:
    """Forwards requests to the source and counts the relayed chunks."""

    def __init__(self, client: TargetClient, source_address: str) -> None:
        self._client = client
        self._source_address = source_address
        self._chunks_count = 0

    async def handle(self, exchange: ServerExchange) -> None:
        """Relay one stream, or report the CPU time for ``/usage``."""
        if exchange.head.path == '/usage':
            await exchange.send(Response(200, (), self._encode_usage()))
            return
        response = await self._client.open(
            self._source_address, exchange.head, b'', 'r1', ServiceLimits()
        )
        disconnect_task = await curio.spawn(
            exchange.wait_disconnect, daemon=True
        )
        async with response:
            await exchange.start_stream(response.status, response.headers)
            async for chunk in response.chunks():
                self._chunks_count += 1
                await exchange.send_chunk(chunk)
            await exchange.end_stream()
        await disconnect_task.cancel()

    def _encode_usage(self) -> bytes:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        document = {
            'cpu_seconds': usage.ru_utime + usage.ru_stime,
            'chunks_count': self._chunks_count,
            'peak_kib': usage.ru_maxrss,
        }
        return json.dumps(document).encode()


async def _serve_source() -> None:
    async with HttpServer('127.0.0.1:0', _stream_events) as server:
        print(server.port, flush=True)
        await curio.sleep(3600)


async def _serve_relay(source_address: str) -> None:
    async with TargetClient() as client:
        relay = _ChunkRelay(client, source_address)
        async with HttpServer('127.0.0.1:0', relay.handle) as server:
            print(server.port, flush=True)
            await curio.sleep(3600)


async def _fetch_usage(address: str) -> dict[str, Any]:
    response = await fetch(address, 'GET', '/usage')
    document: dict[str, Any] = json.loads(response.body)
    return document


async def _measure(
    address: str, streams: int, chunks: int, pace_seconds: float
) -> None:
    before = await _fetch_usage(address)
    started_seconds = time.monotonic()
    path = f'/{chunks}/{pace_seconds}'
    async with curio.TaskGroup() as group:
        for _ in range(streams):
            await group.spawn(_read_stream, address, path, chunks)
    elapsed_seconds = time.monotonic() - started_seconds
    after = await _fetch_usage(address)
    cpu_seconds = after['cpu_seconds'] - before['cpu_seconds']
    relayed_count = after['chunks_count'] - before['chunks_count']
    print(
        json.dumps(
            {
                'streams': streams,
                'events': streams * chunks,
                'relayed_chunks': relayed_count,
                'cpu_us_per_event': cpu_seconds / streams / chunks * 1e6,
                'cpu_us_per_chunk': cpu_seconds / relayed_count * 1e6,
                'events_per_second': streams * chunks / elapsed_seconds,
                'peak_mib': after['peak_kib'] / 1024,
            }
        )
    )


async def _read_stream(address: str, path: str, chunks: int) -> None:
    response = await fetch(address, 'GET', path, timeout_seconds=600)
    if response.body.count(b'\n\n') != chunks:
        raise RuntimeError('the stream did not contain each event once')


def _start_process(*arguments: str) -> tuple[subprocess.Popen[str], str]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'benchmarks.relay', *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    port = (process.stdout.readline() if process.stdout else '').strip()
    return process, f'127.0.0.1:{port}'


def main(
    role: Annotated[str, typer.Option(hidden=True)] = 'measure',
    source: Annotated[str, typer.Option(hidden=True)] = '',
    streams: Annotated[int, typer.Option()] = 50,
    chunks: Annotated[int, typer.Option()] = 300,
    pace_seconds: Annotated[float, typer.Option()] = 0.03,
) -> None:
    """Relay paced streams and print the CPU time per event and per chunk.

    :param role: measure, source or relay; the measuring process starts the
        other two.
    :param source: address of the source, for the relay.
    :param streams: streams that are read at the same time.
    :param chunks: events per stream.
    :param pace_seconds: pause after each event.
    """
    if role == 'source':
        curio.run(_serve_source)
    elif role == 'relay':
        curio.run(_serve_relay, source)
    else:
        source_process, source_address = _start_process('--role', 'source')
        relay_process, address = _start_process(
            '--role', 'relay', '--source', source_address
        )
        try:
            curio.run(_measure, address, streams, chunks, pace_seconds)
        finally:
            relay_process.kill()
            source_process.kill()


if __name__ == '__main__':
    typer.run(main)
