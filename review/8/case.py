"""A machine is added; then all others are lost under load."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet2 import (  # noqa: E402
    BROKEN,
    HELD,
    MODEL,
    PLAIN,
    STABLE_SECONDS,
    TROUBLE,
    CouldNotRun,
    Fleet,
    Server,
    asyncio,
    call,
    desired_state,
    encode,
    main,
    new_id,
    random,
    route,
    time,
)

FIRST = route('book', 'non_idempotent', 'app')
ADDED = route(
    'chat',
    'streaming',
    'model',
    sticky=True,
    **{'timeout-ms': 12000, 'slo-ms': 300},
)
SLOTS_COUNT = 64
QUEUE_COUNT = 192
ENGINES_COUNT = 3
EVENTS_COUNT = 40
EVENT_SECONDS = 0.1
# About what the engines can run at a time.
CHATS_PER_SECOND = 48
BOOKS_PER_SECOND = 5
# From the rule.
MIN_REQUESTS_COUNT = 20
MIN_RATIO = 1 / 4
JUDGED_SECONDS = 12.0


class Engine(Server):
    """A model server whose streams last some seconds."""

    def __init__(self, *args):
        super().__init__(*args)
        self.running_count = 0

    async def run(self, message, request_id, writer):
        if self.running_count >= SLOTS_COUNT + QUEUE_COUNT:
            not_executed = [('Dotterelhatch-Not-Executed', 1)]
            self.answer(writer, 503, b'', not_executed, request_id)
            await writer.drain()
            return True
        self.running_count += 1
        try:
            return await self._stream(message, request_id, writer)
        finally:
            self.running_count -= 1

    async def _stream(self, message, request_id, writer):
        self.begin(message, request_id)
        await asyncio.sleep(0.05)
        writer.write(
            encode(
                'HTTP/1.1 200 OK',
                [
                    ('Dotterelhatch-Request-Id', request_id),
                    ('Dotterelhatch-Response-Stamp', self.stamp(request_id)),
                    ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked'),
                ],
            )
        )
        for number in range(1, EVENTS_COUNT + 1):
            event = f'id: {number}\ndata: {request_id}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
            if writer.transport.is_closing():
                return False
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Load:
    """Requests on both routes, with their answers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = []
        self._tasks = []

    async def run(self, routers, seconds):
        """Send requests to some routers for a while."""
        until = time.monotonic() + seconds
        ratio = CHATS_PER_SECOND // BOOKS_PER_SECOND
        number = 0
        while time.monotonic() < until:
            number += 1
            self._send(self._chat, random.choice(routers))
            if not number % ratio:
                self._send(self._book, random.choice(routers))
            await asyncio.sleep(1 / CHATS_PER_SECOND)

    async def finish(self):
        await asyncio.gather(*self._tasks)

    def served(self, kind, after):
        """Return the served requests since a time, and all of them."""
        answers = [
            answer
            for one, started, answer in self.sent
            if one == kind and started >= after
        ]
        served = [one for one in answers if one.status == 200 and one.is_whole]
        return len(served), len(answers)

    def _send(self, send, router):
        self._tasks.append(asyncio.create_task(send(router)))

    async def _chat(self, router):
        part = f'{random.getrandbits(32):08x}'
        headers = [
            ('Dotterelhatch-Model', 'm'),
            ('Dotterelhatch-Token-Counts', '700,300'),
            ('Dotterelhatch-Prompt-Prefix', f'5c1e07a2:172,{part}:528'),
            ('Dotterelhatch-Deadline-Ms', '12000'),
        ]
        await self._call('chat', router, headers, f'prompt {part}'.encode())

    async def _book(self, router):
        headers = [('Dotterelhatch-Deadline-Ms', '2500')]
        await self._call('book', router, headers, b'slot')

    async def _call(self, kind, router, headers, body):
        request_id = new_id()
        started = time.monotonic()
        answer = await call(
            router.front,
            'POST',
            f'/{kind}/2f',
            [
                ('Dotterelhatch-Request-Id', request_id),
                ('Authorization', 'Bearer key-hule930'),
                *headers,
            ],
            body,
            timeout=12.0,
        )
        self.sent.append((kind, started, answer))
        self.fleet.record(f'{router.name} {kind} {request_id}: {answer}')


async def case():
    fleet = Fleet(FOLDER, ('gaziantep',) * 4)
    async with fleet:
        for _ in range(2):
            await fleet.add(Server(fleet.store, 'app', fleet.record))
        engines = [
            await fleet.add(Engine(fleet.store, 'model', fleet.record))
            for _ in range(ENGINES_COUNT)
        ]
        state = desired_state(7, [FIRST], [PLAIN, MODEL])
        fleet.store.put('op', 'config', state)
        added, *others = fleet.routers
        for router in fleet.routers:
            router.write_settings(fleet.store.address, fleet.seeds)
        for router in others:
            router.start()
        await fleet.wait_ready(others)
        fleet.store.put(
            'op', 'config', {**state, 'version': 9, 'routes': [FIRST, ADDED]}
        )
        fleet.record('the store confirms version 9, with the added route')
        await asyncio.sleep(3)
        load = Load(fleet)
        await load.run(others, 6)
        fleet.record(f'{added.name} is added')
        added.start()
        loading = asyncio.create_task(load.run(others, 6))
        await fleet.wait_ready([added])
        await loading
        before = load.served('chat', 0)
        counts = [engine.running_count for engine in engines]
        fleet.record(f'running at the engines: {counts}')
        if TROUBLE:
            for router in others:
                router.kill()
            fleet.record('all other machines are lost')
        await asyncio.sleep(STABLE_SECONDS + 3)
        counts = [engine.running_count for engine in engines]
        fleet.record(f'running at the engines: {counts}')
        judged_from = time.monotonic()
        await load.run([added], JUDGED_SECONDS)
        await load.finish()
        if not before[1]:
            raise CouldNotRun('no request was sent before')
        book = load.served('book', judged_from)
        chat = load.served('chat', judged_from)
        fleet.record(
            f'at the added machine, from {STABLE_SECONDS + 3:g} s after the '
            f'loss on: {book[0]} of {book[1]} served on the first route, '
            f'{chat[0]} of {chat[1]} on the added one'
        )
        is_broken = (
            chat[1] >= MIN_REQUESTS_COUNT
            and chat[0] / chat[1] < MIN_RATIO * book[0] / book[1]
        )
        return BROKEN if is_broken else HELD


main(case)
