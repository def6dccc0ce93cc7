"""Claims under faults of the table service and the object store."""

import random
import time

import curio
import pytest
from backingkit import http, in_curio
from claim_helpers import World, begin, run

from dotterelhatch.claimstore import ClaimStore
from dotterelhatch.core.claims import (
    ClaimOwner,
    Identity,
    StartedClaim,
    StoredResponse,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.ids import Incarnation, RouterId

ANSWER = StoredResponse(201, (('Content-Type', 'text/plain'),), b'\xff\0done')
LARGE = StoredResponse(200, (), b'x' * 65_537)
WEEK_SECONDS = 7 * 86_400


def refused(coroutine) -> tuple[ErrorKind, Executed]:
    """Return how a call was refused."""
    with pytest.raises(DotterelhatchError) as error:
        run(coroutine)
    return error.value.kind, error.value.executed


NOT_RUN = (ErrorKind.STORE_UNAVAILABLE, Executed.NO)
UNKNOWN = (ErrorKind.OUTCOME_UNKNOWN, Executed.UNKNOWN)
IN_PROGRESS = (ErrorKind.IN_PROGRESS, Executed.UNKNOWN)
REUSED = (ErrorKind.KEY_REUSED, Executed.NO)


@pytest.mark.parametrize('is_first_use', [True, False])
@pytest.mark.parametrize('is_release_first', [True, False])
@pytest.mark.parametrize(
    ('script', 'is_started', 'pending_count'),
    [
        ('ok', True, 0),
        ('down', False, 0),
        ('lost ok', True, 0),
        ('lost down', False, 1),
        ('void ok ok', True, 0),
        ('void down', False, 1),
        ('void ok down', False, 1),
        ('void ok lost ok', True, 0),
        ('late ok ok', True, 0),
        ('late down', False, 1),
        ('late ok late ok late ok', False, 1),
    ],
)
def test_claim_write(
    script, is_started, pending_count, is_release_first, is_first_use
) -> None:
    """Guards against running without a claim and against stuck keys."""
    world = World()
    faults = script.split()
    if not is_first_use:
        run(world_claim_abandoned(world))
        faults.insert(0, 'ok')
    store, _tables = world.router('a', *faults)
    if is_started:
        assert isinstance(run(begin(store, 't1')), StartedClaim)
    else:
        assert refused(begin(store, 't1')) == NOT_RUN
    assert store.pending_count == pending_count
    if is_release_first:
        world.tables.release_held_writes()
    assert run(store.settle_pending()) == 0
    world.tables.release_held_writes()
    other, _tables = world.router('b')
    if is_started:
        assert refused(begin(other, 't2')) == IN_PROGRESS
    else:
        assert isinstance(run(begin(other, 't2')), StartedClaim)


async def world_claim_abandoned(world: World) -> None:
    """Leave a row that is marked not run."""
    store, _tables = world.router('first')
    await store.abandon(await begin(store, 't0'))


@pytest.mark.parametrize('answer', [ANSWER, LARGE])
@pytest.mark.parametrize(
    'script',
    ['ok', 'down', 'lost ok', 'lost down', 'void down', 'late down', 'void ok'],
)
def test_finish(script, answer) -> None:
    """Guards against losing a response and against running again."""
    world = World()
    store, tables = world.router('a')
    claim = run(begin(store, 't1'))
    tables.script = script.split()
    run(store.finish(claim, answer))
    tables.script = ['down'] * store.pending_count
    assert run(begin(store, 't2')) == answer
    tables.script = []
    assert run(store.settle_pending()) == 0
    world.tables.release_held_writes()
    other, _tables = world.router('b')
    world.live.discard(('a', 1))
    assert run(begin(other, 't3')) == answer
    assert refused(begin(other, 't4', body='other')) == REUSED


@pytest.mark.parametrize('call', ['abandon', 'mark_unknown'])
@pytest.mark.parametrize(
    'script', ['ok', 'down', 'lost down', 'void down', 'late down', 'late ok']
)
def test_outcome_marks(script, call) -> None:
    """Guards against a lost mark and against running after 'unknown'."""
    world = World()
    store, tables = world.router('a')
    claim = run(begin(store, 't1'))
    tables.script = script.split()
    run(getattr(store, call)(claim))
    run(store.settle_pending())
    world.tables.release_held_writes()
    other, _tables = world.router('b')
    if call == 'abandon':
        assert isinstance(run(begin(other, 't2', body='other')), StartedClaim)
        return
    assert refused(begin(other, 't2')) == UNKNOWN
    run(store.abandon(claim))
    assert world.state() == 'unknown'
    run(store.finish(claim, ANSWER))
    assert run(begin(other, 't3')) == ANSWER


def test_large_body_is_stored_before_its_row() -> None:
    """Guards against a row that refers to an object which does not exist."""
    world = World()
    store, _tables = world.router('a')
    claim = run(begin(store, 't1'))
    world.objects.faults.down = True
    run(store.finish(claim, LARGE))
    assert (world.state(), store.pending_count) == ('claimed', 1)
    assert run(begin(store, 't2')) == LARGE
    world.objects.faults.down = False
    run(store.settle_pending())
    world.objects.faults.down = True
    kind = ErrorKind.STORE_UNAVAILABLE
    assert refused(begin(store, 't3')) == (kind, Executed.YES)
    world.objects.faults.down = False
    world.objects._objects.clear()
    kind = ErrorKind.OUTCOME_UNKNOWN
    assert refused(begin(store, 't4')) == (kind, Executed.YES)


@pytest.mark.parametrize('steps_count', range(1, 4))
@pytest.mark.parametrize('script', ['ok', 'lost', 'late'])
def test_cancelled_begin_is_settled(steps_count, script) -> None:
    """Guards against a key that stays claimed by a cancelled caller."""
    world = World()
    store, _tables = world.router('a', script)
    call = begin(store, 't1')
    for _step in range(steps_count):
        try:
            call.send(None)
        except StopIteration:
            return
    call.close()
    run(store.settle_pending())
    world.tables.release_held_writes()
    assert isinstance(run(begin(store, 't2')), StartedClaim)


@pytest.mark.parametrize(
    ('conclude', 'is_live', 'is_expired', 'expected'),
    [
        ('', True, False, IN_PROGRESS),
        ('', False, False, UNKNOWN),
        ('', True, True, IN_PROGRESS),
        ('', False, True, None),
        ('mark_unknown', False, True, None),
        ('finish', False, False, ANSWER),
        ('finish', True, True, None),
    ],
)
def test_repeat(conclude, is_live, is_expired, expected) -> None:
    """Guards against taking over a claim and against endless waits."""
    world = World()
    store, _tables = world.router('a')
    claim = run(begin(store, 't1'))
    if conclude:
        arguments = (ANSWER,) if conclude == 'finish' else ()
        run(getattr(store, conclude)(claim, *arguments))
    if not is_live:
        world.live.clear()
    if is_expired:
        world.now_seconds += WEEK_SECONDS
    other, _tables = world.router('b')
    if isinstance(expected, tuple):
        assert refused(begin(other, 't2')) == expected
    elif expected is None:
        assert run(other.delete_expired(10)) == 1
        assert isinstance(run(begin(other, 't2')), StartedClaim)
    else:
        assert run(begin(other, 't2')) == expected


def test_waiting_repeat_sees_the_end_of_the_first() -> None:
    """Guards against a repeat that misses a response or a dead owner."""
    world = World()
    store, _tables = world.router('a')
    other, _tables = world.router('b', 'ok', 'down')
    for key, expected in (('k1', ANSWER), ('k2', None)):
        claim = run(begin(store, f'1{key}', key))
        waiting = begin(other, f'2{key}', key)
        for _step in range(20):
            waiting.send(None)
        if expected:
            run(store.finish(claim, ANSWER))
            assert run(waiting) == ANSWER
        else:
            world.live.discard(('a', 1))
            assert refused(waiting) == UNKNOWN


def test_token_used_twice_and_unreadable_row() -> None:
    """Guards against running on another call's claim or on noise."""
    world = World()
    store, _tables = world.router('a')
    run(begin(store, 't1'))
    assert refused(begin(store, 't1')) == IN_PROGRESS
    run(world.tables.write('claims', 'o/s/noise', b'{}', 0))
    assert refused(begin(store, 't2', 'noise')) == UNKNOWN


def test_pending_claims_are_bounded() -> None:
    """Guards against memory that grows while the store is silent."""
    world = World()
    store, tables = world.router('a', pending_limit_count=2)
    tables.default = 'void'
    for number in range(4):
        assert refused(begin(store, f't{number}', f'k{number}')) == NOT_RUN
    assert store.pending_count == 2
    assert run(store.settle_pending()) == 2
    tables.default = 'ok'
    assert run(store.settle_pending(limit_count=1)) == 1


def test_expiry_is_bounded_and_conditional() -> None:
    """Guards against a late delete of a key that is in use again."""
    world = World()
    store, tables = world.router('a')
    other, _tables = world.router('b')
    for number in range(5):
        claim = run(begin(store, f't{number}', f'k{number}'))
        run(store.finish(claim, ANSWER))
    world.now_seconds += WEEK_SECONDS
    run(store.finish(run(begin(store, 'new', 'k9')), ANSWER))
    late = other.delete_expired(2)
    for _step in range(3):
        late.send(None)
    assert [run(store.delete_expired(2)) for _call in range(4)] == [2, 2, 1, 0]
    run(store.finish(run(begin(store, 'again', 'k0')), ANSWER))
    assert run(late) == 0
    assert run(begin(other, 'repeat', 'k0')) == ANSWER
    tables.default = 'down'
    assert run(store.delete_expired(2)) == 0


@pytest.mark.parametrize('script', ['void down', 'late down'])
def test_settling_spares_the_claim_of_another(script) -> None:
    """Guards against 'not run' on a claim that another router holds."""
    world = World()
    store, _tables = world.router('a', *script.split())
    other, _tables = world.router('b')
    assert refused(begin(store, 't1')) == NOT_RUN
    claim = run(begin(other, 't2'))
    world.tables.release_held_writes()
    assert run(store.settle_pending()) == 0
    assert refused(begin(store, 't3')) == IN_PROGRESS
    run(other.finish(claim, ANSWER))
    assert run(begin(store, 't4')) == ANSWER


@pytest.mark.parametrize('script', ['void', 'late'])
def test_read_back_finds_the_claim_of_another(script) -> None:
    """Guards against running on a row that another router has written."""
    world = World()
    store, _tables = world.router('a', script)
    other, _tables = world.router('b')
    call = begin(store, 't1')
    for _step in range(2):
        call.send(None)
    assert isinstance(run(begin(other, 't2')), StartedClaim)
    assert refused(call) == IN_PROGRESS
    assert store.pending_count == 0


@in_curio
async def test_over_http() -> None:
    """Guards against errors and cancellation that only real calls show."""
    owner = ClaimOwner(router_id=RouterId('a'), incarnation=Incarnation(1))
    identity = Identity(owner, lambda *_lifetime: False)
    async with http() as platform:
        store = ClaimStore(
            platform.tables,
            platform.objects,
            time.time,
            curio.sleep,
            identity,
            random.Random(0),
        )
        platform.fault(lose_write_answers=True)
        claim = await begin(store, 't1')
        await store.finish(claim, LARGE)
        assert (store.pending_count, await begin(store, 't2')) == (1, LARGE)
        platform.fault()
        assert await store.settle_pending() == 0
        assert await begin(store, 't3') == LARGE
        platform.fault(silent=True)
        async with curio.ignore_after(0.05) as limit:
            await begin(store, 't4', 'other')
        assert (limit.expired, store.pending_count) == (True, 1)
        platform.fault()
        assert await store.settle_pending() == 0
        claim = await begin(store, 't5', 'other')
        await store.finish(claim, ANSWER)
        assert await begin(store, 't6', 'other') == ANSWER
