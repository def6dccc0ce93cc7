"""A server leaves; an old write of its entry is performed after that."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet2 import (  # noqa: E402
    BROKEN,
    HEARTBEAT_SECONDS,
    HELD,
    PLAIN,
    STABLE_SECONDS,
    TROUBLE,
    CouldNotRun,
    Fleet,
    Server,
    asyncio,
    call,
    desired_state,
    main,
    new_id,
    route,
    time,
)

ROUTES = [route('book', 'non_idempotent', 'app')]
REQUESTS_PER_SECOND = 40
WORK_SECONDS = 0.2
DRAIN_SECONDS = 2.0
# The answer of one write is lost; the write is done 1 to 6 s later.
LATE_SECONDS = 5.9
# From the lost write to the removal of the entry; longer than
# stable-window-ms, so that the store is stable by then.
BEFORE_SECONDS = STABLE_SECONDS + 0.5
# After the removal the server goes on for drain-ms, "at times many seconds".
SERVES_SECONDS = 6.0
SILENT_SECONDS = 3 * HEARTBEAT_SECONDS


class Load:
    """Requests by turns through all routers, with their answers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = {}
        self._tasks = []

    async def run(self):
        number = 0
        while True:
            number += 1
            router = self.fleet.routers[number % len(self.fleet.routers)]
            self._tasks.append(asyncio.create_task(self._send(router)))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def finish(self):
        await asyncio.gather(*self._tasks)

    async def _send(self, router):
        request_id = new_id()
        answer = await call(
            router.front,
            'POST',
            '/book/2f',
            [
                ('Dotterelhatch-Request-Id', request_id),
                ('Dotterelhatch-Deadline-Ms', '2500'),
                ('Authorization', 'Bearer key-hule930'),
            ],
            b'slot',
            timeout=2.5,
        )
        self.answers[request_id] = answer
        self.fleet.record(f'{router.name} {request_id}: {answer}')


async def write_late(fleet, server):
    """Perform a write of a server some seconds after it was sent."""
    server.seq += 1
    entry = server.row()
    fleet.record(f'{server.instance} writes {entry}, without an answer')
    await asyncio.sleep(LATE_SECONDS)
    fleet.record(f'the store performs the write of {server.instance}')
    fleet.store.put('servers', server.instance, entry)
    await asyncio.sleep(SILENT_SECONDS)
    fleet.record(f'the entry of {server.instance} expires')
    fleet.store.remove('servers', server.instance)


async def case():
    fleet = Fleet(FOLDER)
    async with fleet:
        for _ in range(3):
            await fleet.add(
                Server(fleet.store, 'app', fleet.record, WORK_SECONDS)
            )
        fleet.store.put('op', 'config', desired_state(7, ROUTES, [PLAIN]))
        fleet.start_routers()
        await fleet.wait_ready()
        await asyncio.sleep(STABLE_SECONDS + 1)
        leaver = fleet.servers[0]
        load = Load(fleet)
        sending = asyncio.create_task(load.run())
        await asyncio.sleep(1)
        if TROUBLE:
            late_write = asyncio.create_task(write_late(fleet, leaver))
        await asyncio.sleep(BEFORE_SECONDS)
        if not leaver.runs:
            raise CouldNotRun('the server got no request at first')
        # One of the servers that never report `draining`.
        leaver.stop_beats()
        fleet.store.remove('servers', leaver.instance)
        gone_seconds = time.monotonic()
        fleet.record(f'the entry of {leaver.instance} is removed')
        await asyncio.sleep(SERVES_SECONDS)
        fleet.record(f'{leaver.instance} exits')
        running = leaver.runs[:]
        await leaver.stop()
        await asyncio.sleep(1)
        sending.cancel()
        await load.finish()
        if TROUBLE:
            late_write.cancel()
        after = gone_seconds + DRAIN_SECONDS
        late = [seconds for seconds, _, _ in leaver.arrived if seconds > after]
        lost = [
            request_id
            for seconds, request_id, _ in running
            if seconds > after and load.answers[request_id].status != 200
        ]
        fleet.record(
            f'{len(late)} requests reached {leaver.instance} more than '
            f'{DRAIN_SECONDS:g} s after the store had confirmed that it was '
            f'gone; {len(lost)} of them ran and were not served'
        )
        return BROKEN if late else HELD


main(case)
