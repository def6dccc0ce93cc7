"""One tenant sends prompts of many parts to a fleet of two routers."""

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from fleet import (  # noqa: E402
    CannotRunError,
    Machine,
    Record,
    Router,
    Server,
    Store,
    call,
    configuration,
    make_routers,
    run_case,
)

HOST = 'ficu95.example'
# Of the smallest machine of bakir-ortak.
MEMORY_MB = 205
ENGINE_TOKENS = 289119
# Of the sheet: shared and own tokens, distinct shared prompts, requests a
# second (33.1).
SHARED_TOKENS = 6300
OWN_TOKENS = 2890
SHARED_PROMPTS = 104
PER_SECOND = 30
SHARED_PARTS = 700
ROUND_SECONDS = 6
ROUNDS = 3


def shared_prompt(parts_count: int) -> str:
    """Return the parts of a prompt that several requests begin with."""
    tokens = SHARED_TOKENS // parts_count
    return ','.join(
        f'{random.getrandbits(32):08x}:{tokens}' for _ in range(parts_count)
    )


async def case(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Return whether the processes kept below their memory."""
    store = Store()
    await store.open()
    tenants = [{'name': 'ramp-1', 'api-keys': ['key-1']}]
    store.put(
        'op',
        'config',
        configuration(HOST, 3, tenants, engine_tokens=ENGINE_TOKENS),
    )
    for number in range(5):
        server = Server(record, f'i-{number}', 'hatch-llm', '127.0.0.1')
        server.answer_headers = {'Content-Type': 'text/event-stream'}
        server.answer_body = b'id: 1\ndata: word\n\nid: 2\ndata: word\n\n'
        server.work_seconds = 0.1
        await server.open()
        store.put('servers', server.instance, server.row())
    routers = make_routers(folder, 2)
    machines = [Machine(record, router, MEMORY_MB) for router in routers]
    for router in routers:
        router.write_settings(store, routers, MEMORY_MB)
        router.start()
    parts_count = SHARED_PARTS if has_trouble else 2
    prompts = [shared_prompt(parts_count) for _ in range(SHARED_PROMPTS)]
    statuses: Counter[int] = Counter()
    watchers = []
    try:
        for machine in machines:
            await machine.router.wait_ready()
            watchers.append(asyncio.create_task(machine.watch()))
        await asyncio.sleep(1)

        async def send(router: Router, request_id: str) -> None:
            headers = {
                'Host': HOST,
                'Dotterelhatch-Request-Id': request_id,
                'Dotterelhatch-Model': 'm',
                'Dotterelhatch-Token-Counts': f'{SHARED_TOKENS + OWN_TOKENS},50',
                'Dotterelhatch-Prompt-Prefix': (
                    f'{random.choice(prompts)},'
                    f'{random.getrandbits(32):08x}:{OWN_TOKENS}'
                ),
                'Dotterelhatch-Deadline-Ms': '5000',
                'Authorization': 'Bearer key-1',
            }
            answer = await call(
                router.front, 'POST', '/review/1', headers, b'{}', 5
            )
            record(f'answer to {request_id}: {answer.status}')
            statuses[answer.status] += 1

        for round_number in range(ROUNDS):
            sends = []
            for number in range(PER_SECOND * ROUND_SECONDS):
                router = routers[number % len(routers)]
                request_id = f'{router.name}-{round_number}-{number}'
                sends.append(asyncio.create_task(send(router, request_id)))
                await asyncio.sleep(1 / PER_SECOND)
            await asyncio.gather(*sends)
            for machine in machines:
                await machine.router.wait_ready()
            await asyncio.sleep(1)
    finally:
        for watcher in watchers:
            watcher.cancel()
        for router in routers:
            router.kill()
    for machine in machines:
        record(
            f'{machine.router.name} was ended {machine.ends_count} times, at '
            f'most {machine.peak_bytes / 2**20:.0f} MB'
        )
    record(f'answers: {dict(statuses)}')
    if not statuses[200]:
        raise CannotRunError('nothing was served')
    return not all(machine.ends_count >= 3 for machine in machines)


if __name__ == '__main__':
    # With TROUBLE=0 the case is played without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(run_case(Path(__file__).parent, case, has_trouble))
