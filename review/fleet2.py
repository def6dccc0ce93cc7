"""Stand-ins and helpers for the scripts of the second review.

A script starts router processes with the command of the deploy file and the
settings of a small deployment. The store, the servers and the callers are
coroutines of the script itself. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'ficu95.example'
HEARTBEAT_SECONDS = 1.2
STABLE_SECONDS = 3.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._started = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self._started
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()


class Message:
    """A request or a response."""

    def __init__(self, first_line, headers, body=b''):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name):
        for known, text in self.headers:
            if known.lower() == name.lower():
                return text
        return None

    @property
    def method(self):
        return self.first_line.split(' ')[0]

    @property
    def target(self):
        return self.first_line.split(' ')[1]

    @property
    def status(self):
        return int(self.first_line.split(' ')[1])


async def read_head(reader):
    """Return the head of a message, None at a regular end before it."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = raw.decode('latin-1').split('\r\n')
    pairs = [line.partition(':') for line in lines[1:] if line]
    return Message(lines[0], [(name, text.strip()) for name, _, text in pairs])


async def read_body(reader, message, *, to_end=False):
    """Return the body of a message; raise IncompleteReadError if it is cut."""
    if (message.header('Transfer-Encoding') or '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            if not size:
                while await reader.readuntil(b'\r\n') != b'\r\n':
                    pass
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    length = message.header('Content-Length')
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if to_end else b''


def encode(first_line, headers, body=b''):
    """Return the bytes of a message."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class HttpServer:
    """Keep-alive HTTP/1.1 server; `respond` returns the bytes of an answer."""

    def __init__(self, host='127.0.0.1'):
        self.host = host
        self.port = 0
        self._server = None
        self._tasks = set()
        self._writers = set()

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port, limit=1 << 20, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, *, reset=True):
        """Close the listener and all connections, as an ended process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                message.body = await read_body(reader, message)
                if not await self.serve(message, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def serve(self, message, reader, writer):
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(HttpServer):
    """The row store of the platform: tables, transactions and feeds."""

    def __init__(self, host='127.0.0.1'):
        super().__init__(host)
        self.rows = {}
        self.version = 100
        self._changed = asyncio.Event()
        self._history = []

    def put(self, table, key, document):
        self.put_many([(table, key, document)])

    def put_many(self, entries):
        self.version += 1
        for table, key, document in entries:
            content = None if document is None else json.dumps(document)
            row = {'table': table, 'part': '', 'key': key, 'ver': self.version}
            if content is None:
                self.rows.pop((table, key), None)
                row['deleted'] = True
            else:
                row['value'] = base64.b64encode(content.encode()).decode()
                self.rows[table, key] = row
            self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def remove(self, table, key):
        self.put(table, key, None)

    async def serve(self, message, reader, writer):
        status, document = await self._call(message)
        body = json.dumps(document).encode()
        writer.write(
            encode(
                f'HTTP/1.1 {status} X',
                [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', len(body)),
                ],
                body,
            )
        )
        await writer.drain()
        return True

    async def _call(self, message):
        url = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.002)
        if url.path == '/rows-get':
            found = sorted(
                (
                    row
                    for (table, key), row in self.rows.items()
                    if table == query['table'] and key >= query.get('from', '')
                ),
                key=lambda row: row['key'],
            )
            return 200, self._page(found)
        if url.path == '/rows-feed':
            return await self._feed(query)
        if url.path == '/rows-tx':
            return self._transact(json.loads(message.body))
        return 404, {}

    async def _feed(self, query):
        until = time.monotonic() + int(query['wait-ms']) / 1000
        since = int(query['since-rev'])
        while True:
            newest = {}
            for row in self._history:
                if row['table'] == query['table'] and row['ver'] > since:
                    newest.pop(row['key'], None)
                    newest[row['key']] = row
            remaining = until - time.monotonic()
            if newest or remaining <= 0:
                return 200, self._page(list(newest.values()))
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        current = []
        for row in body.get('expected-rev', ()):
            known = self.rows.get((row['table'], row['key']))
            if (known['ver'] if known else 0) != row['ver']:
                current.append(known or {**row, 'deleted': True})
        if current:
            return 412, {'rows': current, 'ver': self.version}
        entries = [
            (row['table'], row['key'], base64.b64decode(row['value']).decode())
            for row in body.get('set-keys', ())
        ]
        self.put_many(
            [
                (table, key, json.loads(content))
                for table, key, content in entries
            ]
            + [
                (row['table'], row['key'], None)
                for row in body.get('remove', ())
            ]
        )
        return 200, {'ver': self.version}

    def _page(self, rows):
        now_ms = int(time.monotonic() * 1000)
        return {
            'rows': rows,
            'has-more': False,
            'ver': self.version,
            'now-ms': now_ms,
        }


class Server(HttpServer):
    """A sound server: registers itself and answers each request.

    Subclasses override :meth:`run`.
    """

    count = 0

    def __init__(self, store, service, record, work_seconds=0.03):
        super().__init__()
        self.store = store
        self.service = service
        self.record = record
        self.work_seconds = work_seconds
        Server.count += 1
        self.instance = f'i-{Server.count:04x}'
        self.state = 'ready'
        self.born = 0
        self.seq = 0
        self.arrived = []
        self.runs = []
        self.boots = 0
        self._beats = None

    async def start(self):
        await super().start()
        self.boots += 1
        self.born = int(time.time() * 1000)
        self._beats = asyncio.create_task(self._beat())

    async def stop(self, *, reset=True):
        self.stop_beats()
        await super().stop(reset=reset)

    def stop_beats(self):
        """Write no more to the store."""
        if self._beats is not None:
            self._beats.cancel()

    def write_row(self):
        self.seq += 1
        self.store.put('servers', self.instance, self.row())

    def row(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'gaziantep',
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'cold-left-ms': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def _beat(self):
        while True:
            self.write_row()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve(self, message, reader, writer):
        request_id = message.header('Dotterelhatch-Request-Id')
        if message.target.startswith('/health'):
            self.answer(writer, 200, b'', [], request_id)
            return True
        self.arrived.append((time.monotonic(), request_id, message))
        expected = message.header('Dotterelhatch-Expect-Instance')
        if expected not in {None, self.instance}:
            self.answer(writer, 421, b'', [], request_id)
            await writer.drain()
            return True
        if request_id is None:
            self.answer(writer, 400, b'', [], None)
            await writer.drain()
            return True
        return await self.run(message, request_id, writer)

    async def run(self, message, request_id, writer):
        """Run a request; return whether the connection is kept."""
        self.begin(message, request_id)
        await asyncio.sleep(self.work_seconds)
        body = b'whole body of ' + request_id.encode()
        self.answer(writer, 200, body, [], request_id)
        await writer.drain()
        return True

    def begin(self, message, request_id):
        """Note that a request begins to run."""
        self.runs.append((time.monotonic(), request_id, message))
        self.record(
            f'{self.instance} runs {request_id} '
            f'{message.method} {message.target}'
        )

    def answer(self, writer, status, body, headers, request_id):
        """Send a whole answer."""
        echoed = (
            []
            if request_id is None
            else [('Dotterelhatch-Request-Id', request_id)]
        )
        if status == 200:
            echoed.append(
                ('Dotterelhatch-Response-Stamp', self.stamp(request_id))
            )
        writer.write(
            encode(
                f'HTTP/1.1 {status} X',
                [
                    *echoed,
                    ('Dotterelhatch-Instance-Id', self.instance),
                    *headers,
                    ('Content-Length', len(body)),
                ],
                body,
            )
        )

    def stamp(self, request_id):
        return f'{self.instance}.{request_id}'


class Router:
    """A router process, as the deploy file starts it."""

    def __init__(self, number, zone, subnet, ports, folder, settings):
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self.ip = f'127.{subnet}.{number}'
        self.ports = ports
        self.front = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.directory = (self.ip, ports[3])
        self.log_path = Path(folder) / f'{self.name}.log'
        self.settings_path = Path(folder) / f'{self.name}.toml'
        self.settings = settings
        self.process = None

    def write_settings(self, store_address, seeds):
        listed = ','.join(f'"{seed}"' for seed in seeds)
        ip, ports = self.ip, self.ports
        settings = {
            'memory-mb': 370,
            'max-fds': 6150,
            'drain-ms': 2000,
            'grace-s': 8,
            'extra-bounds': '',
            **self.settings,
        }
        text = f"""
node-name = "{self.name}"
role = "router"
machine-class = "edge"
serves = ["edge","control_plane","directory"]
ip = "{ip}"
zone = "{self.zone}"
region = "anadolu"
port-range = [{ports[4]},{ports[4] + 4}]
seeds = [{listed}]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
gaziantep = "anadolu"
kayseri = "anadolu"
konya = "anadolu"
[listen]
front = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
control = "{ip}:{ports[2]}"
directory = "{ip}:{ports[3]}"
[limits]
cpu-share = 0.817
cores = 2
memory-mb = {settings['memory-mb']}
max-fds = {settings['max-fds']}
link-mbps = 1500.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-delay-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = {settings['drain-ms']}
grace-s = {settings['grace-s']}
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
skew-max-ms = 5000
strict-revoke = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 56
recovery-s = 12
pass-ms = 120
retry-after-s = 5.6
quota-window-s = 4
ttl_max_s = 5
{settings['extra-bounds']}
[platform]
address = "{store_address}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 3.0
part-writes-s = 300
row-bytes = 65536
across = true
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"""
        self.settings_path.write_text(text)

    def start(self):
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'dotterelhatch.platform'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'DOTTERELHATCH_CONFIG': str(self.settings_path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, signum):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()
            self.process = None

    def log_lines(self):
        """Return the decision lines of the log as documents."""
        lines = []
        for line in self.log_path.read_text(errors='replace').splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines


def free_ports(hosts, count):
    """Return ports that are free for TCP and UDP on all hosts."""
    port = random.SystemRandom().randrange(12_000, 28_000)
    found = []
    while len(found) < count:
        port += 1
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Answer:
    """What a caller has received.

    :ivar status: None if no head of an answer has arrived.
    :ivar is_whole: whether the body has arrived to its end.
    """

    def __init__(self):
        self.status = None
        self.headers = Message('', [])
        self.body = b''
        self.is_whole = False
        self.error = ''
        self.seconds = 0.0

    def __str__(self):
        if self.status is None:
            return f'no answer ({self.error}) after {self.seconds:.3f} s'
        whole = 'whole' if self.is_whole else f'cut ({self.error})'
        return (
            f'{self.status}, {len(self.body)} bytes {whole} '
            f'after {self.seconds:.3f} s'
        )


class Channel:
    """A kept connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.is_open = True

    @classmethod
    async def open(cls, address, timeout=1.0):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=1 << 22), timeout
        )
        return cls(reader, writer)

    def close(self):
        self.is_open = False
        self.writer.close()

    async def send(self, method, path, headers, body=b''):
        pairs = [('Host', HOST), *headers]
        if body or method not in {'GET', 'HEAD'}:
            pairs.append(('Content-Length', len(body)))
        self.writer.write(encode(f'{method} {path} HTTP/1.1', pairs, body))
        await self.writer.drain()

    async def receive(self, timeout, on_part=None):
        answer = Answer()
        started = time.monotonic()
        try:
            await asyncio.wait_for(self._receive(answer), timeout)
        except asyncio.TimeoutError:
            answer.error = 'timed out'
        except asyncio.IncompleteReadError as error:
            answer.error = 'closed'
            answer.body += error.partial
        except OSError as error:
            answer.error = type(error).__name__
        answer.seconds = time.monotonic() - started
        close = (answer.headers.header('Connection') or '').lower()
        if not answer.is_whole or 'close' in close:
            self.close()
        return answer

    async def _receive(self, answer):
        head = await read_head(self.reader)
        if head is None:
            answer.error = 'closed'
            return
        answer.status = head.status
        answer.headers = head
        answer.body = await read_body(self.reader, head, to_end=True)
        answer.is_whole = True


async def call(address, method, path, headers, body=b'', timeout=5.0):
    """Send one request on a new connection; return the answer."""
    try:
        channel = await Channel.open(address)
    except (OSError, asyncio.TimeoutError) as error:
        answer = Answer()
        answer.error = f'not connected: {type(error).__name__}'
        return answer
    try:
        await channel.send(method, path, headers, body)
        return await channel.receive(timeout)
    finally:
        channel.close()


def new_id():
    """Return a request id."""
    return f'{random.getrandbits(64):016x}'


def route(name, kind, service, **more):
    """Return a route of the desired state."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 4000,
        'slo-ms': 500,
        'priority': 1,
        'service': service,
        'max-attempts': 2 if kind == 'idempotent' else 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


def desired_state(version, routes, services=(), tenants=None, limits=None):
    """Return a desired state."""
    return {
        'version': version,
        'routes': routes,
        'services': list(services),
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
            'tokens-per-s': 160000,
            **(limits or {}),
        },
        'tenants': tenants
        or [{'name': 'hule930', 'api-keys': ['key-hule930'], 'priority': 1}],
    }


PLAIN = {'name': 'app', 'health-path': '/health', 'max-conns': 110}
MODEL = {
    'name': 'model',
    'health-path': '/health',
    'max-conns': 370,
    'engine': {'slots': 64, 'kv-capacity-tokens': 289119},
}


class Fleet:
    """The store, and the router processes before it.

    :param folder: of the case, which gets record.txt.
    :param zones: of the routers, one for each.
    """

    def __init__(self, folder, zones=('gaziantep',) * 3, settings=None):
        self.record = Record(folder)
        self.store = Store()
        self.routers = []
        self.servers = []
        self._temporary = tempfile.TemporaryDirectory()
        rng = random.SystemRandom()
        subnet = f'{rng.randrange(1, 255)}.{rng.randrange(1, 255)}'
        hosts = [f'127.{subnet}.{n + 1}' for n in range(len(zones))]
        ports = free_ports(hosts, 5)
        folder = self._temporary.name
        for number, zone in enumerate(zones, 1):
            self.routers.append(
                Router(number, zone, subnet, ports, folder, settings or {})
            )

    @property
    def seeds(self):
        return [f'{one.ip}:{one.ports[2]}' for one in self.routers[:3]]

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *exc_info):
        for router in self.routers:
            router.kill()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for router in self.routers:
                if router.log_path.exists():
                    (Path(keep) / router.log_path.name).write_bytes(
                        router.log_path.read_bytes()
                    )
        self._temporary.cleanup()

    async def add(self, server):
        await server.start()
        self.servers.append(server)
        return server

    def start_routers(self, store_address=None):
        for router in self.routers:
            router.write_settings(
                store_address or self.store.address, self.seeds
            )
            router.start()

    async def wait_ready(self, routers=None, seconds=20.0):
        """Wait until routers are ready; raise CouldNotRun after a while."""
        until = time.monotonic() + seconds
        for router in routers or self.routers:
            while True:
                answer = await call(
                    router.ready, 'GET', '/readiness', [], timeout=1.0
                )
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CouldNotRun(f'{router.name} does not get ready')
                await asyncio.sleep(0.05)
        self.record('routers are ready')


def main(case):
    """Run a case, print its result and exit with its code."""
    try:
        code = asyncio.run(asyncio.wait_for(case(), 115))
    except (CouldNotRun, asyncio.TimeoutError, OSError) as error:
        sys.stdout.write(f'could not run: {error!r}\n')
        code = COULD_NOT_RUN
    words = {HELD: 'held', BROKEN: 'broken', COULD_NOT_RUN: 'could not run'}
    sys.stdout.write(f'the rule: {words[code]}\n')
    sys.exit(code)
