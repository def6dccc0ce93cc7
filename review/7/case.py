"""The last tenant is taken away; keys that never existed are let in."""

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
    route,
)

KEY = 'key-hule930'
TENANTS = [{'name': 'hule930', 'api-keys': [KEY], 'priority': 1}]
ROUTES = [route('book', 'non_idempotent', 'app')]
# Keys that callers send: the dropped one, one that never existed, none.
KEYS = {'dropped': KEY, 'never held': 'key-of-nobody', 'none': None}
REQUESTS_COUNT = 5


async def ask(fleet, router, key):
    """Send one request; return its id and answer."""
    request_id = new_id()
    headers = [
        ('Dotterelhatch-Request-Id', request_id),
        ('Dotterelhatch-Deadline-Ms', '2500'),
    ]
    if key is not None:
        headers.append(('Authorization', f'Bearer {key}'))
    answer = await call(router.front, 'POST', '/book/2f', headers, b'slot')
    fleet.record(f'{router.name} {request_id} key={key}: {answer}')
    return request_id, answer


async def case():
    fleet = Fleet(FOLDER, routers_count=3)
    async with fleet:
        servers = [
            await fleet.add(Server(fleet.store, 'app', fleet.record))
            for _ in range(2)
        ]
        state = desired_state(7, ROUTES, [PLAIN], TENANTS)
        fleet.store.put('op', 'config', state)
        fleet.start_routers()
        await fleet.wait_ready()
        await asyncio.sleep(2)
        for router in fleet.routers:
            _, answer = await ask(fleet, router, KEY)
            _, refused = await ask(fleet, router, KEYS['never held'])
            if (answer.status, refused.status) != (200, 401):
                raise CouldNotRun(f'at first: {answer}; {refused}')
        if TROUBLE:
            # The only tenant leaves, with all of its keys.
            fleet.store.put(
                'op', 'config', {**state, 'version': 11, 'tenants': []}
            )
            fleet.record('the store confirms version 11, without tenants')
        # config-apply-ms is 2,000.
        await asyncio.sleep(5)
        sent = {}
        for router in fleet.routers:
            for name, key in KEYS.items():
                for _ in range(REQUESTS_COUNT):
                    request_id, _ = await ask(fleet, router, key)
                    sent[request_id] = name
        await asyncio.sleep(1)
        run = [
            sent[request_id]
            for server in servers
            for _, request_id, _ in server.runs
            if request_id in sent
        ]
        unheld = run.count('never held') + run.count('none')
        fleet.record(
            f'run: {run.count("never held")} with a key that no desired state '
            f'ever held, {run.count("none")} without a key, '
            f'{run.count("dropped")} with the dropped key'
        )
        return BROKEN if unheld else HELD


main(case)
