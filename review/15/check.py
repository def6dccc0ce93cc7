"""Case 15: a machine that is added sends to a server that has left.

The last write of the server gets no answer and is performed 5.9 s later. The
entry of the server is removed before that, and the machine starts in between.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet3  # noqa: E402

STABLE_WINDOW = 3.0
DRAIN = 2.0
MARGIN = 0.1
# Seconds after the write that gets no answer.
REMOVED = 3.5
PERFORMED = 5.9
# Three ping intervals of 1.2 s without another write.
EXPIRY = 3.6
CALLERS = 3


async def ask_all(fleet, sent, ready):
    """Keep requesters at all machines that have become ready."""
    asked = set()
    while True:
        for router in tuple(ready):
            if router not in asked:
                asked.add(router)
                for _ in range(CALLERS):
                    asyncio.create_task(
                        fleet3.keep_asking(fleet, router, '/booking/1', sent)
                    )
        await asyncio.sleep(0.05)


async def sleep_until(moment):
    await asyncio.sleep(max(0, moment - time.monotonic()))


async def main():
    async with fleet3.Fleet(FOLDER) as fleet:
        record = fleet.record
        servers = [
            fleet3.PlainServer(f'i-app-{one}', 'app', f'zone-{one % 3}', record)
            for one in range(4)
        ]
        for server in servers:
            await fleet.add_server(server)
        routes = [fleet3.route('booking', 'non_idempotent', 'app')]
        state = fleet3.desired_state(3, routes, [{'name': 'app'}])
        await fleet.store.put('op', 'config', state)
        await fleet.start_routers(3)
        sent = {}
        ready = list(fleet.routers[:3])
        asyncio.create_task(ask_all(fleet, sent, ready))
        await asyncio.sleep(5)
        leaving = servers[0]
        written_at = time.monotonic()
        record.say(f'a write of {leaving.name} gets no answer')
        await sleep_until(written_at + REMOVED)
        removed_at = await fleet.store.delete('servers', leaving.name)
        record.say(f'the entry of {leaving.name} is removed, it serves on')
        await asyncio.sleep(0.3)
        added = fleet.routers[3]
        added.start()
        await fleet.wait_ready([added])
        ready_at = time.monotonic()
        ready.append(added)
        record.say(
            f'{added.name} is added, ready {ready_at - removed_at:.2f} s after '
            'the removal'
        )
        if fleet3.IS_TROUBLED:
            await sleep_until(written_at + PERFORMED)
            await fleet.store.put('servers', leaving.name, leaving.row(seq=7))
            record.say('the write is performed')
            await asyncio.sleep(EXPIRY)
            await fleet.store.delete('servers', leaving.name)
            record.say('the entry that it made has expired')
        await sleep_until(written_at + PERFORMED + EXPIRY + 1)
        in_touch_at = ready_at + STABLE_WINDOW + MARGIN
        counts = {router.name: 0 for router in fleet.routers}
        late = []
        for at, request_id, _, _ in leaving.runs:
            router = fleet.sent_to[request_id]
            is_in_touch = router != added.name or (
                sent[request_id] >= in_touch_at
            )
            if at > removed_at + DRAIN and is_in_touch:
                late.append(request_id)
                counts[router] += 1
        last = max(at for at, *_ in leaving.runs)
        record.say(
            f'the last request reached {leaving.name} {last - removed_at:.2f} s '
            'after its entry was removed'
        )
        record.say(
            f'{len(late)} requests reached it later than {DRAIN:g} s after that '
            f'from machines in touch: {counts}'
        )
        return bool(late)


if __name__ == '__main__':
    fleet3.run_case(main)
