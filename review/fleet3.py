"""Stand-ins for the cases of the third review: store, servers and callers.

Everything runs in one asyncio loop on loopback addresses. The routers are the
project's own processes, started with the command of the deploy file.
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
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = 'ficu95.example'
KEYS = {'key-hule930': 'hule930', 'key-zemi114': 'zemi114'}
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
_PROCESSES = []
_REASONS = {200: 'OK', 421: 'Misdirected Request', 503: 'Unavailable'}


class CaseNotRunError(Exception):
    """The case could not run, so nothing was shown."""


class Record:
    """The file record.txt of a case, with times since its start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._started = time.monotonic()

    def write(self, text):
        elapsed = time.monotonic() - self._started
        self._file.write(f'{elapsed:8.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        self.write(text)
        sys.stdout.write(f'{text}\n')
        sys.stdout.flush()


async def read_message(reader):
    """Return the first line, the headers and the body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    pairs = [line.split(':', 1) for line in lines]
    headers = {name.lower(): text.strip() for name, text in pairs}
    body = await _read_body(reader, headers)
    return first, headers, body


async def _read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int((await reader.readline()).strip(), 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    length = int(headers.get('content-length', '0'))
    return await reader.readexactly(length)


def render(status, headers, body=b''):
    """Return the bytes of a response with a length."""
    reason = _REASONS.get(status, 'Status')
    lines = [f'HTTP/1.1 {status} {reason}', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in headers]
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


class HttpStandIn:
    """Base of a stand-in that speaks HTTP/1.1 on a loopback address."""

    def __init__(self):
        self.address = ''
        self._server = None

    async def start(self, ip='127.0.0.1', port=0):
        self._server = await asyncio.start_server(
            self._serve, ip, port, backlog=512
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    def stop(self):
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                if not await self.answer(*message, reader, writer):
                    break
        writer.close()

    async def answer(self, first, headers, body, reader, writer):
        raise NotImplementedError


class Store(HttpStandIn):
    """The platform's store: rows with versions and a feed of changes.

    :ivar feeds: times at which calls for changes began, by table.
    """

    def __init__(self):
        super().__init__()
        self.version = 0
        self.feeds = {}
        self._rows = {}
        self._changed = asyncio.Condition()

    async def put(self, table, key, document):
        """Write a row; return the time of the confirmation."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return await self._write(table, key, value)

    async def delete(self, table, key):
        """Remove a row; return the time of the confirmation."""
        return await self._write(table, key, None)

    async def _write(self, table, key, value):
        self.version += 1
        self._rows[table, key] = (value, self.version)
        async with self._changed:
            self._changed.notify_all()
        return time.monotonic()

    async def answer(self, first, headers, body, reader, writer):
        path = first.split(' ')[1]
        parts = urlsplit(path)
        query = {name: text[0] for name, text in parse_qs(parts.query).items()}
        # A call takes about 4 ms.
        await asyncio.sleep(0.004)
        if parts.path == '/rows-get':
            status, document = 200, self._get(query)
        elif parts.path == '/rows-feed':
            status, document = await self._feed(query)
        elif parts.path == '/rows-tx':
            status, document = await self._transact(json.loads(body))
        else:
            status, document = 404, {}
        content = json.dumps(document).encode()
        json_type = (('Content-Type', 'application/json'),)
        writer.write(render(status, json_type, content))
        await writer.drain()
        return headers.get('connection') != 'close'

    def _document(self, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {**fields, 'ver': self.version, 'now-ms': now_ms}

    def _get(self, query):
        limit = int(query.get('limit', '500'))
        start, end = query.get('from', ''), query.get('to')
        rows = [
            _row(table, key, *stored)
            for (table, key), stored in sorted(self._rows.items())
            if table == query['table']
            and stored[0] is not None
            and key >= start
            and (end is None or key < end)
        ]
        return self._document(
            rows=rows[:limit], **{'has-more': len(rows) > limit}
        )

    async def _feed(self, query):
        table, since = query['table'], int(query['since-rev'])
        self.feeds.setdefault(table, []).append(time.monotonic())
        until = time.monotonic() + int(query.get('wait-ms', '0')) / 1000
        while not self._changes(table, since):
            remaining = until - time.monotonic()
            if remaining <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining), self._changed:
                    await self._changed.wait()
        return 200, self._document(rows=self._changes(table, since))

    def _changes(self, table, since):
        changed = sorted(
            (stored[1], key, stored[0])
            for (row_table, key), stored in self._rows.items()
            if row_table == table and stored[1] > since
        )
        return [_row(table, key, value, ver) for ver, key, value in changed]

    async def _transact(self, call):
        for row in call.get('expected-rev', ()):
            stored = self._rows.get((row['table'], row['key']), (None, 0))
            known = stored[1] if stored[0] is not None else 0
            if known != row['ver']:
                return 412, self._document(rows=[])
        for row in call.get('set-keys', ()):
            await self._write(row['table'], row['key'], row['value'])
        for row in call.get('remove', ()):
            await self._write(row['table'], row['key'], None)
        return 200, self._document()


def _row(table, key, value, version):
    row = {'table': table, 'part': '', 'key': key, 'ver': version}
    return (
        {**row, 'deleted': True} if value is None else {**row, 'value': value}
    )


class QuietProxy:
    """Forwards connections; those that are open can be made silent for good."""

    def __init__(self, target):
        self._target = target
        self._open = []
        self._server = None
        self.address = ''

    async def start(self, ip='127.0.0.1', port=0):
        self._server = await asyncio.start_server(
            self._serve, ip, port, backlog=512
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    def stop(self):
        self._server.close()

    def silence(self):
        """Deliver nothing more on the open connections; return their number."""
        for link in self._open:
            link['silent'] = True
        return len(self._open)

    async def _serve(self, reader, writer):
        link = {'silent': False}
        host, _, port = self._target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._open.append(link)
        await asyncio.gather(
            self._pump(link, reader, upstream[1]),
            self._pump(link, upstream[0], writer),
        )
        self._open.remove(link)
        writer.close()
        upstream[1].close()

    async def _pump(self, link, reader, writer):
        with contextlib.suppress(OSError):
            while content := await reader.read(65_536):
                if not link['silent']:
                    writer.write(content)
                    await writer.drain()
        if not link['silent']:
            with contextlib.suppress(OSError):
                writer.write_eof()


class PlainServer(HttpStandIn):
    """A server of a plain service that answers each request after some work.

    :ivar runs: time, request id, path and tenant of each request that ran.
    """

    def __init__(self, name, service, zone, record, work_seconds=0.03):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = []
        self._record = record
        self._work_seconds = work_seconds
        self._stamps = 0

    def row(self, state='ready', seq=1):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': '1.0',
            'slots': 6,
            'state': state,
            'cold-left-ms': 0,
            'seq': seq,
            'born': 1_790_000_000_000,
        }

    async def answer(self, first, headers, body, reader, writer):
        method, path, _ = first.split(' ')
        request_id = headers.get('dotterelhatch-request-id')
        if path == '/health' and method == 'GET':
            name = (('Dotterelhatch-Instance-Id', self.name),)
            writer.write(render(200, name))
            return True
        if request_id is None:
            writer.write(render(400, (('Dotterelhatch-Not-Executed', '1'),)))
            return True
        echo = ('Dotterelhatch-Request-Id', request_id)
        expected = headers.get('dotterelhatch-expect-instance', self.name)
        if expected != self.name:
            name = ('Dotterelhatch-Instance-Id', self.name)
            writer.write(render(421, (echo, name)))
            return True
        self.runs.append(
            (
                time.monotonic(),
                request_id,
                path,
                headers.get('dotterelhatch-tenant'),
            )
        )
        self._record.write(f'{self.name} runs {request_id} {path}')
        await self.work(headers, body)
        self._stamps += 1
        stamp = ('Dotterelhatch-Response-Stamp', f'{self.name}.{self._stamps}')
        keep = ('Keep-Alive', 'timeout=10')
        content = f'{request_id} by {self.name}'.encode()
        writer.write(render(200, (echo, stamp, keep), content))
        await writer.drain()
        return True

    async def work(self, headers, body):
        await asyncio.sleep(self._work_seconds)


class EngineServer(PlainServer):
    """A model server: a request is answered by a stream of events.

    Its weights have version 1; a request that expects another one is answered
    421 and is not run.
    """

    weights_version = 1
    events_count = 4
    event_seconds = 0.03

    def row(self, state='ready', seq=1):
        model = {'name': 'm', 'version': self.weights_version, 'adapters': []}
        return {
            **super().row(state, seq),
            'slots': 64,
            'stage': 'mixed',
            'models': [model],
        }

    async def answer(self, first, headers, body, reader, writer):
        expected = headers.get('dotterelhatch-expect-version')
        request_id = headers.get('dotterelhatch-request-id')
        is_mine = headers.get('dotterelhatch-expect-instance') == self.name
        if 'dotterelhatch-token-counts' not in headers or not is_mine:
            return await super().answer(first, headers, body, reader, writer)
        echo = ('Dotterelhatch-Request-Id', request_id)
        if expected is not None and expected != str(self.weights_version):
            self._record.write(f'{self.name} answers {request_id} with 421')
            name = ('Dotterelhatch-Instance-Id', self.name)
            writer.write(render(421, (echo, name)))
            return True
        path = first.split(' ')[1]
        tenant = headers.get('dotterelhatch-tenant')
        self.runs.append((time.monotonic(), request_id, path, tenant))
        self._record.write(f'{self.name} runs {request_id} {path}')
        self._stamps += 1
        head = (
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            'Keep-Alive: timeout=10',
            f'Dotterelhatch-Weight-Versions: {self.weights_version}',
            f'Dotterelhatch-Request-Id: {request_id}',
            f'Dotterelhatch-Response-Stamp: {self.name}.{self._stamps}',
        )
        writer.write('\r\n'.join((*head, '', '')).encode())
        for number in range(1, self.events_count + 1):
            await asyncio.sleep(self.event_seconds)
            event = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Router:
    """A router process with a loopback address of its own."""

    def __init__(
        self, index, ip, ports, folder, store_address, seeds, memory_mb=205
    ):
        self.name = f'edge-{index + 1}'
        self.ip = ip
        self.ports = ports
        self._memory_mb = memory_mb
        self.zone = f'zone-{index % 3}'
        self.log_path = Path(folder) / f'{self.name}.log'
        self._settings_path = Path(folder) / f'{self.name}.toml'
        self._settings_path.write_text(self._settings(store_address, seeds))
        self.process = None

    def address(self, port_name):
        return f'{self.ip}:{self.ports[port_name]}'

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['router']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['DOTTERELHATCH_CONFIG'] = str(self._settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        _PROCESSES.append(self.process)

    def send(self, signum):
        if self.process.poll() is None:
            self.process.send_signal(signum)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            response = await call(
                self.address('ready'),
                'GET',
                '/readiness',
                (('Host', self.ip),),
                b'',
                1,
            )
        except (OSError, TimeoutError):
            return False
        return response is not None and ' 200 ' in f'{response[0]} '

    def _settings(self, store_address, seeds):
        listed = ', '.join(f'"{seed}"' for seed in seeds)
        return f"""
node-name = "{self.name}"
role = "router"
machine-class = "edge"
serves = ["edge", "directory", "control_plane"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "loopback"
port-range = [{self.ports['range']}, {self.ports['range'] + 7}]
seeds = [{listed}]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
[zones]
zone-0 = "loopback"
zone-1 = "loopback"
zone-2 = "loopback"
[listen]
front = "{self.address('front')}"
ready = "{self.address('ready')}"
control = "{self.address('control')}"
directory = "{self.address('directory')}"
[limits]
cpu-share = 0.817
cores = 2
memory-mb = {self._memory_mb}
max-fds = 6150
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
drain-ms = 2000
grace-s = 8
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


async def call(address, method, path, headers, body, timeout_seconds):
    """Send a request on a new connection; return the response or None."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_seconds):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(render_request(method, path, headers, body))
            return await read_message(reader)
        except (asyncio.IncompleteReadError, OSError):
            return None
        finally:
            writer.close()


def render_request(method, path, headers, body):
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def request_headers(request_id, deadline_ms=2500, key='key-hule930'):
    """Return the headers of a request to a plain service."""
    return (
        ('Host', HOST),
        ('Dotterelhatch-Request-Id', request_id),
        ('Dotterelhatch-Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {key}'),
    )


def prompt_headers(own_part):
    """Return the headers of the prompt of a request to a model server.

    :param own_part: the last part of the prompt, a hexadecimal number.
    """
    return (
        ('Dotterelhatch-Model', 'm'),
        ('Dotterelhatch-Token-Counts', '1460,24'),
        (
            'Dotterelhatch-Prompt-Prefix',
            f'5c1e07a2:800,91bd3f06:410,{own_part}:250',
        ),
    )


def route(name, kind, service, **more):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 1200,
        'slo-ms': 150,
        'split': [{'service': service, 'weight': 1}],
        'max-attempts': 1,
        'public': False,
        **more,
    }


def desired_state(version, routes, services):
    """Return a row op/config."""
    tenants = [{'name': name, 'api-keys': [key]} for key, name in KEYS.items()]
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 5000,
            'idle-timeout-ms': 15_000,
            'tokens-per-s': 160_000,
        },
        'tenants': tenants,
    }


class Fleet:
    """The store, its proxy and some routers; a context manager.

    :param folder: of the case, which gets the record.
    """

    def __init__(self, folder, routers_count=4, memory_mb=205):
        self.record = Record(folder)
        self.store = Store()
        self.store_proxy = None
        self.routers = []
        self.stand_ins = [self.store]
        self._routers_count = routers_count
        self._memory_mb = memory_mb
        self._folder = tempfile.mkdtemp(prefix='review-3-')
        # Name of the router that each request was sent to.
        self.sent_to = {}
        self._requests_count = 0

    async def __aenter__(self):
        await self.store.start()
        self.store_proxy = await QuietProxy(self.store.address).start()
        return self

    async def __aexit__(self, *exc_info):
        for router in self.routers:
            router.stop()
        for stand_in in self.stand_ins:
            stand_in.stop()
        self.store_proxy.stop()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def add_server(self, server, ip='127.0.0.1'):
        await server.start(ip)
        self.stand_ins.append(server)
        await self.store.put('servers', server.name, server.row())
        return server

    async def start_routers(self, count=None):
        """Start the first routers, or all, and wait until they are ready."""
        # All routers have the same metrics port, so each run takes a network
        # of its own.
        rng = random.SystemRandom()
        network = f'127.{rng.randrange(2, 250)}.{rng.randrange(1, 255)}'
        ips = [f'{network}.{one + 1}' for one in range(self._routers_count)]
        ports = _free_ports(ips)
        seeds = [f'{ip}:{ports["control"]}' for ip in ips][:3]
        for index, ip in enumerate(ips):
            router = Router(
                index,
                ip,
                ports,
                self._folder,
                self.store_proxy.address,
                seeds,
                self._memory_mb,
            )
            self.routers.append(router)
        for router in self.routers[:count]:
            router.start()
        await self.wait_ready(self.routers[:count])
        self.record.say(f'{len(self.routers[:count])} routers are ready')

    async def wait_ready(self, routers):
        for _ in range(200):
            await asyncio.sleep(0.1)
            ready = await asyncio.gather(
                *(router.is_ready() for router in routers)
            )
            if all(ready):
                return
        raise CaseNotRunError('the routers did not become ready')

    def next_id(self):
        self._requests_count += 1
        return f'r{self._requests_count:06d}'


async def keep_asking(fleet, router, path, sent, pause_seconds=0.05):
    """Send bookings to one router, each on a new channel.

    :param sent: gets the time at which each request was sent.
    """
    while True:
        request_id = fleet.next_id()
        sent[request_id] = time.monotonic()
        fleet.sent_to[request_id] = router.name
        try:
            response = await call(
                router.address('front'),
                'POST',
                path,
                request_headers(request_id),
                b'{"slot": 1}',
                3,
            )
            answer = 'nothing' if response is None else response[0]
        except (OSError, TimeoutError) as error:
            answer = repr(error)
        fleet.record.write(f'{router.name} {request_id} {path}: {answer}')
        await asyncio.sleep(pause_seconds)


async def wait_for_feeds(fleet, table):
    """Return shortly after all routers have begun to wait for changes.

    They do so at the same time, because a change answers all of them at once.
    """
    feeds = fleet.store.feeds[table]
    for _ in range(800):
        now = time.monotonic()
        recent = [one for one in feeds if now - one < 0.25]
        if len(recent) >= len(fleet.routers):
            await asyncio.sleep(0.1)
            return
        await asyncio.sleep(0.01)
    raise CaseNotRunError('the routers do not wait at the same time')


def _free_ports(ips):
    base = random.SystemRandom().randrange(12_000, 30_000)
    names = ('front', 'ready', 'control', 'directory')
    for start in range(base, base + 2000, 20):
        found = {name: start + at for at, name in enumerate(names)}
        found['range'] = start + 8
        if all(_is_free(ip, start + at) for ip in ips for at in range(16)):
            return found
    raise CaseNotRunError('no free ports')


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def run_case(main):
    """Run a case; its result is whether the rule was broken."""

    async def bounded():
        async with asyncio.timeout(110):
            return await main()

    signal.signal(signal.SIGTERM, lambda *_: _end(2))
    signal.signal(signal.SIGINT, lambda *_: _end(2))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        is_broken = loop.run_until_complete(bounded())
    except (CaseNotRunError, TimeoutError, OSError) as error:
        sys.stdout.write(f'the case could not run: {error!r}\n')
        is_broken = None
    _end(2 if is_broken is None else int(is_broken))


def _end(code):
    """End at once, whatever connections are still open, and all routers."""
    for process in _PROCESSES:
        if process.poll() is None:
            process.kill()
            process.wait()
    sys.stdout.flush()
    os._exit(code)
