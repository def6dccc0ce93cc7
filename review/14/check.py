"""Case 14: a server gets requests long after its entry was removed.

The open channels to the store go silent before that, without a reset; new
ones work.
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
# For what the clocks of this script and of a bench may differ by.
MARGIN = 0.1
CALLERS = 3
# Several times what the store takes for an answer, and a router to apply it.
ANSWER_SECONDS = 0.15


async def main():
    async with fleet3.Fleet(FOLDER) as fleet:
        record = fleet.record
        servers = [
            fleet3.PlainServer(f'i-app-{one}', 'app', f'zone-{one}', record)
            for one in range(3)
        ]
        for server in servers:
            await fleet.add_server(server)
        routes = [fleet3.route('booking', 'non_idempotent', 'app')]
        state = fleet3.desired_state(3, routes, [{'name': 'app'}])
        await fleet.store.put('op', 'config', state)
        await fleet.start_routers()
        sent = {}
        tasks = [
            asyncio.create_task(
                fleet3.keep_asking(fleet, router, '/booking/1', sent)
            )
            for router in fleet.routers
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(2)
        # A change, after which all routers wait for the next one at once.
        added = fleet3.PlainServer('i-app-3', 'app', 'zone-0', record)
        await fleet.add_server(added)
        await asyncio.sleep(2)
        await fleet3.wait_for_feeds(fleet, 'servers')
        silent_at = time.monotonic()
        if fleet3.IS_TROUBLED:
            count = fleet.store_proxy.silence()
            record.say(f'{count} open channels to the store go silent')
        await asyncio.sleep(0.2)
        leaving = servers[0]
        removed_at = await fleet.store.delete('servers', leaving.name)
        record.say(f'the entry of {leaving.name} is removed, it serves on')
        await asyncio.sleep(9)
        for task in tasks:
            task.cancel()
        in_touch_at = silent_at + STABLE_WINDOW + MARGIN
        # Each router has called the store again, and has been answered.
        again = [one for one in fleet.store.feeds['servers'] if one > silent_at]
        known_at = again[len(fleet.routers) - 1] + ANSWER_SECONDS
        late = [
            request_id
            for at, request_id, _, _ in leaving.runs
            if at > removed_at + DRAIN and sent[request_id] >= in_touch_at
        ]
        known = [one for one in late if sent[one] >= known_at]
        last = max(at for at, *_ in leaving.runs)
        record.say(
            f'{leaving.name}: {len(leaving.runs)} runs, the last one '
            f'{last - removed_at:.2f} s after its entry was removed'
        )
        record.say(
            f'{len(late)} requests reached it later than {DRAIN:g} s after '
            f'that, sent {STABLE_WINDOW + MARGIN:g} s or more after the '
            'channels had gone silent'
        )
        record.say(
            f'{len(known)} of these were sent when all routers had read that '
            f'the entry is gone, {known_at - removed_at:.2f} s after that'
        )
        return bool(known)


if __name__ == '__main__':
    fleet3.run_case(main)
