"""Machines freeze while a flooded machine passes requests on to them."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet2 import (  # noqa: E402
    BROKEN,
    HELD,
    PLAIN,
    TROUBLE,
    CouldNotRun,
    Fleet,
    Server,
    asyncio,
    call,
    desired_state,
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
USUAL_PER_SECOND = 40
HOT_FACTOR = 10
USERS_COUNT = 40
OTHERS_PER_SECOND = 30
# Longer than stable-window-ms, so that the flooded machine is in touch.
BEFORE_SECONDS = 5.0
# One after the other.
FROZEN_COUNT = 3
FREEZE_SECONDS = 3.5
# After the start of a burst of requests; a request takes longer.
BUSY_SECONDS = 0.025
AFTER_SECONDS = 1.0

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
        self._tasks = []

    def send(self, router, tenant):
        self._tasks.append(asyncio.create_task(self._send(router, tenant)))

    async def finish(self):
        await asyncio.gather(*self._tasks)

    async def _send(self, router, tenant):
        request_id = new_id()
        method, path = random.choice(
            (('POST', '/book/2f'), ('GET', '/look/2f'))
        )
        started = time.monotonic()
        answer = await call(
            router.front,
            method,
            path,
            [
                ('Dotterelhatch-Request-Id', request_id),
                ('Dotterelhatch-Deadline-Ms', int(DEADLINE_SECONDS * 1000)),
                ('Authorization', f'Bearer key-{tenant}'),
            ],
            b'slot' if method == 'POST' else b'',
            timeout=DEADLINE_SECONDS,
        )
        self.sent.append((router, request_id, answer, started))
        self.fleet.record(
            f'{router.name} {tenant} {method} {request_id}: {answer}'
        )

    async def run(self, seconds):
        """Send the requests of some seconds."""
        until = time.monotonic() + seconds
        interval = USERS_COUNT / (USUAL_PER_SECOND * HOT_FACTOR)
        flooded = self.fleet.routers[0]
        while time.monotonic() < until:
            for _ in range(USERS_COUNT):
                self.send(flooded, 'hot0')
            for _ in range(round(OTHERS_PER_SECOND * interval)):
                tenant = random.choice(TENANTS[1:])['name']
                self.send(random.choice(self.fleet.routers), tenant)
            await asyncio.sleep(interval)


async def freeze(fleet, router):
    """Freeze a machine while it answers requests."""
    await asyncio.sleep(BUSY_SECONDS)
    if TROUBLE:
        fleet.record(f'{router.name} freezes')
        router.signal(signal.SIGSTOP)


async def case():
    fleet = Fleet(FOLDER, routers_count=4)
    async with fleet:
        for _ in range(3):
            await fleet.add(Server(fleet.store, 'app', fleet.record))
        fleet.store.put(
            'op', 'config', desired_state(7, ROUTES, [PLAIN], TENANTS)
        )
        fleet.start_routers()
        await fleet.wait_ready()
        await asyncio.sleep(4)
        flooded, *peers = fleet.routers
        load = Load(fleet)
        await load.run(BEFORE_SECONDS)
        for frozen in peers[:FROZEN_COUNT]:
            freezing = asyncio.create_task(freeze(fleet, frozen))
            await load.run(FREEZE_SECONDS)
            await freezing
            if TROUBLE:
                fleet.record(f'{frozen.name} wakes')
                frozen.signal(signal.SIGCONT)
            await load.run(AFTER_SECONDS)
        await load.finish()
        if not any(answer.status == 200 for _, _, answer, _ in load.sent):
            raise CouldNotRun('nothing is served')
        at_flooded = [
            answer for router, _, answer, _ in load.sent if router is flooded
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
