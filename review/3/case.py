"""A requester names headers of the router in its Connection header."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from fleet import (  # noqa: E402
    CannotRunError,
    Server,
    Record,
    Store,
    call,
    configuration,
    make_routers,
    run_case,
)

HOST = 'ficu95.example'
KEYS = {'key-of-ramp-1': 'ramp-1', 'key-of-ramp-2': 'ramp-2'}


async def case(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Return whether each run had the tenant of its requester's key."""
    store = Store()
    server = Server(record, 'i-1', 'greaselog-app', '127.0.0.1')
    await store.open()
    await server.open()
    tenants = [{'name': KEYS[key], 'api-keys': [key]} for key in KEYS]
    store.put('op', 'config', configuration(HOST, 3, tenants))
    store.put('servers', 'i-1', server.row())
    (router,) = make_routers(folder, 1)
    router.write_settings(store, [router])
    router.start()
    keys_by_request: dict[str, str] = {}
    try:
        await router.wait_ready()
        await asyncio.sleep(1)
        for number, key in enumerate([*KEYS] * 3):
            request_id = f'r{number}'
            keys_by_request[request_id] = key
            connection = 'keep-alive'
            if has_trouble:
                connection = 'keep-alive, Dotterelhatch-Tenant'
            headers = {
                'Host': HOST,
                'Connection': connection,
                'Dotterelhatch-Request-Id': request_id,
                'Dotterelhatch-Deadline-Ms': '2500',
                'Dotterelhatch-Tenant': 'another',
                'Authorization': f'Bearer {key}',
            }
            record(f'send {request_id} with {key}, Connection: {connection}')
            answer = await call(
                router.front, 'POST', '/signoff/1', headers, b'{}', 4
            )
            record(f'answer to {request_id}: {answer.status}')
    finally:
        router.kill()
    if not server.ran:
        raise CannotRunError('nothing has run')
    held = True
    for run in server.ran:
        request_id = run.headers['dotterelhatch-request-id']
        tenant = run.headers.get('dotterelhatch-tenant')
        expected = KEYS[keys_by_request[request_id]]
        if tenant != expected:
            record(f'{request_id} ran with tenant {tenant}, not {expected}')
            held = False
    return held


if __name__ == '__main__':
    # With TROUBLE=0 the case is played without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(run_case(Path(__file__).parent, case, has_trouble))
