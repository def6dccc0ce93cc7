"""Stand-ins and router processes for the scripts of the review.

Only the standard library is used, so nothing has to be built for it.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_SECONDS = 20.0
CASE_SECONDS = 110.0
UPLOAD_STEPS = 32
SILENT_SECONDS = 3600
MEMORY_CHECK_SECONDS = 0.02
RESTART_SECONDS = 0.5


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record."""
        self._file = (folder / 'record.txt').open('w')
        self._started_seconds = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the time since the start."""
        seconds = time.monotonic() - self._started_seconds
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()


class Request:
    """A request as a server received it."""

    def __init__(self, head: str, body: bytes) -> None:
        """Parse the request line and the headers."""
        line, *lines = head.split('\r\n')
        self.method, self.path, _ = line.split(' ', 2)
        pairs = (entry.partition(':') for entry in lines if entry)
        self.headers = {
            name.strip().lower(): text.strip() for name, _, text in pairs
        }
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return head and body of a request with a length, empty at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return '', b''
    head = raw[:-4].decode('latin-1')
    length = 0
    for line in head.split('\r\n')[1:]:
        name, _, text = line.partition(':')
        if name.strip().lower() == 'content-length':
            length = int(text)
    return head, await reader.readexactly(length) if length else b''


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class HttpStandIn:
    """Accepts channels and passes each request to ``answer``."""

    def __init__(self, host: str) -> None:
        """Start on a free port of a loopback address."""
        self._host = host
        self._port = 0
        self._server: Any = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._host}:{self._port}'

    def end(self) -> None:
        """Stop listening and reset all channels, as a crash does."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Send an answer."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            head, body = await read_message(reader)
            while head:
                await self.answer(Request(head, body), writer)
                await writer.drain()
                head, body = await read_message(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The router has closed the channel, or was ended.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store(HttpStandIn):
    """The platform's store: rows, their changes, and transactions."""

    def __init__(self, host: str = '127.0.0.1') -> None:
        """Start without rows."""
        super().__init__(host)
        self.version = 0
        self._feeds_count = 0
        self._silent_feeds_count = 0
        self._rows: dict[tuple[str, str, str], tuple[int, str | None]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row as the operator or a server does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._set({(table, '', key): value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._set({(table, '', key): None})

    def silence_channels(self) -> None:
        """Let the channels that are open now go silent; new ones work."""
        self._silent_feeds_count = self._feeds_count

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one call."""
        path, _, query = request.path.partition('?')
        fields = dict(part.partition('=')[::2] for part in query.split('&'))
        status, document = 404, {}
        if path == '/rows-get':
            status, document = 200, self._select(fields)
        elif path == '/rows-feed':
            status, document = 200, await self._feed(fields)
        elif path == '/rows-tx':
            status, document = self._transact(json.loads(request.body))
        headers = {'Content-Type': 'application/json'}
        writer.write(
            encode_answer(status, headers, json.dumps(document).encode())
        )

    def _set(self, rows: dict[tuple[str, str, str], str | None]) -> None:
        self.version += 1
        for name, value in rows.items():
            self._rows[name] = (self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, name: tuple[str, str, str]) -> dict[str, Any]:
        version, value = self._rows[name]
        row: dict[str, Any] = dict(zip(('table', 'part', 'key'), name))
        row['ver'] = version
        if value is None:
            return row | {'deleted': True}
        return row | {'value': value}

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {'rows': rows, 'ver': self.version, 'now-ms': now_ms}

    def _select(self, fields: dict[str, str]) -> dict[str, Any]:
        rows = [
            self._encode(name)
            for name in sorted(self._rows)
            if name[0] == fields['table'] and self._rows[name][1] is not None
        ]
        return self._page(rows) | {'has-more': False}

    async def _feed(self, fields: dict[str, str]) -> dict[str, Any]:
        since = int(fields['since-rev'])
        ends = time.monotonic() + int(fields['wait-ms']) / 1000
        self._feeds_count += 1
        number = self._feeds_count
        while True:
            if number <= self._silent_feeds_count:
                await asyncio.sleep(SILENT_SECONDS)
            names = [
                name
                for name, (version, _) in self._rows.items()
                if name[0] == fields['table'] and version > since
            ]
            left = ends - time.monotonic()
            if names or left <= 0:
                names.sort(key=lambda name: self._rows[name][0])
                return self._page([self._encode(name) for name in names])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        def name(row: dict[str, Any]) -> tuple[str, str, str]:
            return row['table'], row.get('part', ''), row['key']

        expected = call.get('expected-rev', ())
        for row in expected:
            version, value = self._rows.get(name(row), (0, None))
            if (version if value is not None else 0) != row['ver']:
                found = [
                    self._encode(name(one))
                    for one in expected
                    if name(one) in self._rows
                ]
                return 412, self._page(found)
        writes = {name(row): row['value'] for row in call.get('set-keys', ())}
        self._set(writes | {name(row): None for row in call.get('remove', ())})
        return 200, self._page([])


class Server(HttpStandIn):
    """A server; it runs what expects its id."""

    def __init__(
        self, record: Record, instance: str, service: str, host: str
    ) -> None:
        """Start with nothing run."""
        super().__init__(host)
        self.instance = instance
        self.work_seconds = 0.01
        self.slots = 64
        self.answer_headers: dict[str, str] = {}
        self.answer_body = b'done ' * 160
        self.events_count = 0
        self.event_seconds = 0.0
        self.ran: list[Request] = []
        self._service = service
        self._record = record
        self.born_ms = int(time.time() * 1000)

    def row(self, state: str = 'ready') -> dict[str, Any]:
        """Return what the server writes of itself to the store."""
        return {
            'service': self._service,
            'address': self.address,
            'zone': 'kochi-a',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold-left-ms': 0,
            'seq': len(self.ran),
            'born': self.born_ms,
        }

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, or say that it is for another server."""
        request_id = request.headers.get('dotterelhatch-request-id', '')
        headers = {'Dotterelhatch-Request-Id': request_id}
        expected = request.headers.get('dotterelhatch-expect-instance')
        if expected != self.instance:
            headers['Dotterelhatch-Instance-Id'] = self.instance
            await self.refuse(headers, writer)
            return
        self.ran.append(request)
        self._record(
            f'{self.instance} runs {request_id} {request.method} '
            f'{request.path} of {request.headers.get("dotterelhatch-tenant")}'
            f' with {len(request.body)} bytes'
        )
        await asyncio.sleep(self.work_seconds)
        headers['Dotterelhatch-Response-Stamp'] = f'stamp.{request_id}'
        headers |= self.answer_headers
        if self.events_count:
            await self._stream(headers, writer)
        else:
            writer.write(encode_answer(200, headers, self.answer_body))

    async def refuse(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Say that the request has not run here."""
        writer.write(encode_answer(421, headers, b''))

    async def _stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        lines = ['HTTP/1.1 200 X', 'Transfer-Encoding: chunked']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        writer.write('\r\n'.join([*lines, '', '']).encode('latin-1'))
        for number in range(1, self.events_count + 1):
            event = f'id: {number}\ndata: word\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(self.event_seconds)
        writer.write(b'0\r\n\r\n')


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(
        self, folder: Path, name: str, ip: str, ports: list[int]
    ) -> None:
        """Choose the addresses."""
        self.name = name
        self.front, self.ready, self.control, self.directory = (
            f'{ip}:{port}' for port in ports[:4]
        )
        self._ip = ip
        self._peer_port = ports[4]
        self._folder = folder
        self.popen: Any = None

    def write_settings(
        self, store: Store, routers: list['Router'], memory_mb: int = 430
    ) -> None:
        """Write the settings file of a machine of the site rampkeep."""
        seeds = json.dumps([router.control for router in routers[:3]])
        (self._folder / f'{self.name}.toml').write_text(
            f"""
node-name = "{self.name}"
role = "router"
machine-class = "edge"
serves = ["edge", "control_plane", "directory"]
ip = "{self._ip}"
zone = "kochi-a"
region = "kochi"
port-range = [{self._peer_port}, {self._peer_port}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
[zones]
kochi-a = "kochi"
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpu-share = 0.817
cores = 2
memory-mb = {memory_mb}
max-fds = 6150
link-mbps = 1500.0
disk-mb = 0
[bounds]
reuse-delay-s = 2
stable-window-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
rollback-slack-ms = 250
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 54
quota-window-s = 4
ttl_max_s = 5
[platform]
address = "{store.address}"
form = "table"
history-s = 20
"""
        )

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        program, *arguments = deploy['roles']['router']['run'].split()
        python = shutil.which(program) or sys.executable
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.popen = subprocess.Popen(
                [python, *arguments],
                cwd=ROOT,
                env=kept
                | {
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'DOTTERELHATCH_CONFIG': str(
                        self._folder / f'{self.name}.toml'
                    ),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signum)

    def kill(self) -> None:
        """End the process."""
        if self.popen is not None:
            self.send_signal(signal.SIGKILL)
            self.popen.wait()

    def resident_bytes(self) -> int:
        """Return the memory of the process, 0 if it does not run."""
        with contextlib.suppress(OSError):
            status = Path(f'/proc/{self.popen.pid}/status').read_text()
            for line in status.splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) * 1024
        return 0

    async def is_ready(self) -> bool:
        """Return whether the readiness call gets a 200."""
        answer = await call(self.ready, 'GET', '/readiness', {}, b'', 1)
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        ends = time.monotonic() + START_SECONDS
        while time.monotonic() < ends:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        log = (self._folder / f'{self.name}.log').read_text()
        raise CannotRunError(
            f'{self.name} does not become ready: exit code '
            f'{self.popen.poll()}, end of its log: {log[-1500:]}'
        )


class Machine:
    """Keeps a router running and below its memory, as the platform does."""

    def __init__(self, record: Record, router: Router, memory_mb: int) -> None:
        """Start with no process ended."""
        self.ends_count = 0
        self.peak_bytes = 0
        self.router = router
        self._memory_mb = memory_mb
        self._record = record

    async def watch(self) -> None:
        """Kill the process when it exceeds its memory; start it again."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            used_bytes = self.router.resident_bytes()
            self.peak_bytes = max(self.peak_bytes, used_bytes)
            if used_bytes <= self._memory_mb * 2**20:
                continue
            self.ends_count += 1
            self._record(
                f'{self.router.name} uses {used_bytes / 2**20:.0f} MB of '
                f'{self._memory_mb}: killed, {self.ends_count} so far'
            )
            self.router.send_signal(signal.SIGKILL)
            self.router.popen.wait()
            await asyncio.sleep(RESTART_SECONDS)
            self.router.start()


class Answer:
    """An answer, with status 0 if there is no complete one."""

    def __init__(
        self, status: int = 0, headers: dict[str, str] | None = None
    ) -> None:
        """Start without a body."""
        self.status = status
        self.headers = headers or {}
        self.body = b''


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_seconds: float,
    upload_seconds: float = 0,
) -> Answer:
    """Send a request on a new channel and return the answer.

    :param upload_seconds: time in which the body is sent, at an even rate.
    """
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if 'Host' not in headers:
        lines.append(f'Host: {address}')
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join([*lines, '', '']).encode('latin-1')
    try:
        async with asyncio.timeout(timeout_seconds):
            return await _exchange(address, head, body, upload_seconds)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer()


async def _exchange(
    address: str, head: bytes, body: bytes, upload_seconds: float
) -> Answer:
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(head)
        step_bytes = max(1, len(body) // UPLOAD_STEPS + 1)
        for start in range(0, len(body), step_bytes):
            writer.write(body[start : start + step_bytes])
            await writer.drain()
            if upload_seconds:
                await asyncio.sleep(upload_seconds / UPLOAD_STEPS)
        raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        line, *lines = raw.split('\r\n')
        pairs = (entry.partition(':') for entry in lines if entry)
        headers = {name.lower(): text.strip() for name, _, text in pairs}
        answer = Answer(int(line.split()[1]), headers)
        if headers.get('transfer-encoding') == 'chunked':
            answer.body = await _read_chunks(reader)
        else:
            length = int(headers.get('content-length', '0'))
            answer.body = await reader.readexactly(length)
        return answer
    finally:
        writer.close()


def configuration(
    host: str,
    version: int,
    tenants: list[dict[str, Any]],
    service: str = 'greaselog-app',
    engine_tokens: int = 456833,
) -> dict[str, Any]:
    """Return a desired state with a plain and a streaming route."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'signoff',
                'host': host,
                'prefix': '/signoff/',
                'kind': 'non_idempotent',
                'service': service,
                'timeout-ms': 2500,
                'slo-ms': 200,
                'max-attempts': 1,
                'priority': 2,
            },
            {
                'name': 'review',
                'host': host,
                'prefix': '/review/',
                'kind': 'streaming',
                'service': 'hatch-llm',
                'timeout-ms': 5000,
                'slo-ms': 500,
                'max-attempts': 1,
                'priority': 1,
                'sticky': True,
                'resumable': False,
                'gap-target-ms': 250,
            },
        ],
        'services': [
            {'name': service, 'health-path': '/health', 'max-conns': 100},
            {
                'name': 'hatch-llm',
                'health-path': '/health',
                'max-conns': 360,
                'engine': {'slots': 64, 'kv-capacity-tokens': engine_tokens},
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
            'tokens-per-s': 215000,
        },
        'tenants': tenants,
    }


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    length = -1
    while length:
        length = int(await reader.readuntil(b'\r\n'), 16)
        parts.append((await reader.readexactly(length + 2))[:-2])
    return b''.join(parts)


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports below the ephemeral ones that are free on all hosts."""
    found: list[int] = []
    port = random.SystemRandom().randrange(12_000, 28_000)
    while len(found) < count:
        port += 1
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def make_routers(folder: Path, count: int) -> list[Router]:
    """Return routers with a loopback address each.

    All have the same metrics port, so cases that run at the same time need
    addresses of their own.
    """
    rng = random.SystemRandom()
    net = f'127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}'
    hosts = [f'{net}.{number + 1}' for number in range(count)]
    ports = free_ports(hosts, 5)
    return [
        Router(folder, f'edge-kochi-a-{index + 1}', host, ports)
        for index, host in enumerate(hosts)
    ]


def run_case(
    folder: Path,
    case: Callable[[Record, Path, bool], Awaitable[bool]],
    has_trouble: bool,
) -> int:
    """Play a case and return the exit code.

    :param case: gets the record, a temporary folder and whether the disruption
        happens; returns whether the rule held.
    """
    record = Record(folder)
    record(f'disruption: {"yes" if has_trouble else "no"}')
    # A case that is ended ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(
                asyncio.wait_for(
                    case(record, Path(temporary), has_trouble), CASE_SECONDS
                )
            )
        except (CannotRunError, OSError, TimeoutError) as error:
            record(f'could not run: {error!r}')
            return NOT_RUN
    record(f'the rule {"held" if held else "was broken"}')
    return HELD if held else BROKEN
