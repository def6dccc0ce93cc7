"""Machines freeze while a flooded machine passes requests on to them."""

import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    PLAIN,
    TROUBLE,
    Channel,
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
    signal,
    time,
)

# As in the site file: the timeout of the route, and what a requester waits.
TIMEOUT_SECONDS = 1.2
DEADLINE_SECONDS = 2.5
# From the rule.
ANSWER_SLACK_SECONDS = 0.5
MIN_UNANSWERED_COUNT = 8
# The hot tenant sends ten times its usual.
USUAL_PER_SECOND = 50
HOT_FACTOR = 10
USERS_COUNT = 75
OTHERS_PER_SECOND = 30
# As in the site file.
ZONES = ('gaziantep', 'gaziantep', 'kayseri', 'konya')
# Until the load has settled.
BEFORE_SECONDS = 2.5
# Of four; the site tolerates two at once.
FROZEN_COUNT = 2
FREEZE_SECONDS = 3.5
# A request takes longer.
BUSY_SECONDS = 0.01
# Some requesters keep a response three times as long as it says.
KEPT_FACTOR = 3

TIMES = {'timeout-ms': TIMEOUT_SECONDS * 1000, 'slo-ms': 150}
ROUTES = [
    route('book', 'non_idempotent', 'app', **TIMES),
    route('look', 'idempotent', 'app', **TIMES),
]
TENANTS = [
    {'name': name, 'api-keys': [f'key-{name}'], 'priority': 1}
    for name in ('hot0', 'calm1', 'calm2', 'calm3')
]


class Load:
    """Requests of all tenants, with their answers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = []
        self.burst_sent = asyncio.Event()
        self._tasks = []

    async def finish(self):
        await asyncio.gather(*self._tasks)

    async def run(self, seconds):
        """Send the requests of some seconds."""
        until = time.monotonic() + seconds
        interval = USERS_COUNT / (USUAL_PER_SECOND * HOT_FACTOR)
        flooded = self.fleet.routers[0]
        others_count = round(OTHERS_PER_SECOND * interval)
        while time.monotonic() < until:
            burst = [(flooded, 'hot0')] * USERS_COUNT + [
                (
                    random.choice(self.fleet.routers),
                    random.choice(TENANTS[1:])['name'],
                )
                for _ in range(others_count)
            ]
            self._tasks.append(asyncio.create_task(self._send_burst(burst)))
            await asyncio.sleep(interval)

    async def _send_burst(self, burst):
        """Open all channels, and send all requests at the same moment."""
        channels = await asyncio.gather(
            *(Channel.open(router.front) for router, _ in burst),
            return_exceptions=True,
        )
        waiting = []
        for (router, tenant), channel in zip(burst, channels):
            if isinstance(channel, Channel):
                request_id, first_line, request = _render(tenant)
                channel.writer.write(request)
                waiting.append(
                    self._receive(
                        router, f'{tenant} {first_line} {request_id}', channel
                    )
                )
        self.burst_sent.set()
        await asyncio.gather(*waiting)

    async def _receive(self, router, name, channel):
        answer = await channel.receive(DEADLINE_SECONDS)
        channel.close()
        self.sent.append((router, answer))
        self.fleet.record(f'{router.name} {name}: {answer}')


def _render(tenant):
    """Return the id, the first line and the bytes of a request."""
    request_id = new_id()
    first_line, body = random.choice(
        (('POST /book/2f HTTP/1.1', b'slot'), ('GET /look/2f HTTP/1.1', b''))
    )
    headers = [
        ('Host', HOST),
        ('Dotterelhatch-Request-Id', request_id),
        ('Dotterelhatch-Deadline-Ms', int(DEADLINE_SECONDS * 1000)),
        ('Authorization', f'Bearer key-{tenant}'),
    ]
    if body:
        headers.append(('Content-Length', len(body)))
    return request_id, first_line, encode(first_line, headers, body)


async def resolve(fleet, router):
    """Return the addresses that a directory names, and their lifetime."""
    path = '/resolve?name=ficu95.example&region=anadolu&zone=gaziantep'
    answer = await call(router.directory, 'GET', path, [])
    fleet.record(f'{router.name} {path}: {answer.body.decode()}')
    document = json.loads(answer.body)
    return document['addresses'], document['ttl-s']


async def freeze(load, routers):
    """Freeze machines while requests are sent."""
    load.burst_sent.clear()
    await load.burst_sent.wait()
    await asyncio.sleep(BUSY_SECONDS)
    if TROUBLE:
        for router in routers:
            load.fleet.record(f'{router.name} freezes')
            router.signal(signal.SIGSTOP)


async def case():
    fleet = Fleet(FOLDER, ZONES)
    async with fleet:
        for _ in range(3):
            await fleet.add(Server(fleet.store, 'app', fleet.record))
        fleet.store.put(
            'op', 'config', desired_state(7, ROUTES, [PLAIN], TENANTS)
        )
        flooded, *peers = fleet.routers
        for router in fleet.routers:
            router.write_settings(fleet.store.address, fleet.seeds)
        flooded.start()
        await fleet.wait_ready([flooded])
        await asyncio.sleep(4)
        # The requesters of the hot tenant keep this response.
        addresses, ttl_seconds = await resolve(fleet, flooded)
        if len(addresses) != 1:
            raise CouldNotRun(f'the directory names {addresses}')
        resolved = time.monotonic()
        for router in peers:
            router.start()
        await fleet.wait_ready(peers)
        load = Load(fleet)
        await load.run(BEFORE_SECONDS)
        freezing = asyncio.create_task(freeze(load, peers[:FROZEN_COUNT]))
        kept_seconds = KEPT_FACTOR * ttl_seconds - time.monotonic() + resolved
        await load.run(min(kept_seconds, FREEZE_SECONDS))
        await freezing
        remaining = FREEZE_SECONDS - kept_seconds
        await asyncio.sleep(max(0, remaining))
        if TROUBLE:
            for router in peers[:FROZEN_COUNT]:
                fleet.record(f'{router.name} wakes')
                router.signal(signal.SIGCONT)
        await load.finish()
        if not any(answer.status == 200 for _, answer in load.sent):
            raise CouldNotRun('nothing is served')
        at_flooded = [
            answer for router, answer in load.sent if router is flooded
        ]
        long = [one for one in at_flooded if one.seconds > TIMEOUT_SECONDS]
        unanswered = [
            one
            for one in long
            if one.seconds > TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS
        ]
        never = [one for one in at_flooded if one.status is None]
        metrics = await call((flooded.ip, 9464), 'GET', '/metrics', [])
        passed = [
            line
            for line in metrics.body.decode().splitlines()
            if 'event="passed_on"' in line and '_total' in line
        ]
        fleet.record(f'{flooded.name}, passed on: {passed}')
        fleet.record(
            f'{flooded.name}, which neither froze nor was cut: '
            f'{len(at_flooded)} requests, {len(long)} lasted longer than '
            f'{TIMEOUT_SECONDS} s, {len(unanswered)} had no final answer '
            f'{ANSWER_SLACK_SECONDS} s later, {len(never)} never got one'
        )
        is_broken = len(unanswered) >= MIN_UNANSWERED_COUNT and len(
            unanswered
        ) * 4 > len(long)
        return BROKEN if is_broken else HELD


main(case)
