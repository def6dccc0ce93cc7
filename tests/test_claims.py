"""Claims under faults of the table service and the object store."""

import random
import time

import curio
import pytest
from backing_helpers import http, in_curio
from claim_helpers import ClaimEnvironment, begin, run

from dotterelhatch.claimstore import ClaimStore
from dotterelhatch.core.claims import (
    ClaimOwner,
    Identity,
    StartedClaim,
    StoredResponse,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.ids import Incarnation, RouterId

SMALL_RESPONSE = StoredResponse(
    201, (('Content-Type', 'text/plain'),), b'\xff\0done'
)
LARGE_RESPONSE = StoredResponse(200, (), b'x' * 65_537)
WEEK_SECONDS = 7 * 86_400


def rejection(coroutine) -> tuple[ErrorKind, Executed]:
    """Return the kind of the error that a call raises, and its execution."""
    with pytest.raises(DotterelhatchError) as error:
        run(coroutine)
    return error.value.kind, error.value.executed


UNAVAILABLE = (ErrorKind.STORE_UNAVAILABLE, Executed.NO)
UNKNOWN = (ErrorKind.OUTCOME_UNKNOWN, Executed.UNKNOWN)
IN_PROGRESS = (ErrorKind.IN_PROGRESS, Executed.UNKNOWN)
REUSED_KEY = (ErrorKind.KEY_REUSED, Executed.NO)


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
def test_claim_write_with_faults(
    script, is_started, pending_count, is_release_first, is_first_use
) -> None:
    """Guards against work without a claim and against keys that stay claimed.

    The write of a claim may fail, or take effect late or without a response.
    If the call fails, the key must be free once the claim is settled.
    """
    environment = ClaimEnvironment()
    faults = script.split()
    if not is_first_use:
        run(leave_abandoned_claim(environment))
        faults.insert(0, 'ok')
    store, _tables = environment.router('a', *faults)
    if is_started:
        assert isinstance(run(begin(store, 't1')), StartedClaim)
    else:
        assert rejection(begin(store, 't1')) == UNAVAILABLE
    assert store.pending_count == pending_count
    if is_release_first:
        environment.tables.release_held_writes()
    assert run(store.settle_pending()) == 0
    environment.tables.release_held_writes()
    other, _tables = environment.router('b')
    if is_started:
        assert rejection(begin(other, 't2')) == IN_PROGRESS
    else:
        assert isinstance(run(begin(other, 't2')), StartedClaim)


async def leave_abandoned_claim(environment: ClaimEnvironment) -> None:
    """Write a row in the state NOT_RUN."""
    store, _tables = environment.router('first')
    await store.abandon(await begin(store, 't0'))


@pytest.mark.parametrize('response', [SMALL_RESPONSE, LARGE_RESPONSE])
@pytest.mark.parametrize(
    'script',
    ['ok', 'down', 'lost ok', 'lost down', 'void down', 'late down', 'void ok'],
)
def test_finish_with_faults(script, response) -> None:
    """Guards against a lost response and against a second run.

    The write of the final state may fail, or take effect late or without a
    response. Later requests must get the stored response from every router.
    """
    environment = ClaimEnvironment()
    store, tables = environment.router('a')
    claim = run(begin(store, 't1'))
    tables.script = script.split()
    run(store.finish(claim, response))
    tables.script = ['down'] * store.pending_count
    assert run(begin(store, 't2')) == response
    tables.script = []
    assert run(store.settle_pending()) == 0
    environment.tables.release_held_writes()
    other, _tables = environment.router('b')
    environment.live.discard(('a', 1))
    assert run(begin(other, 't3')) == response
    assert rejection(begin(other, 't4', body='other')) == REUSED_KEY


@pytest.mark.parametrize('call', ['abandon', 'mark_unknown'])
@pytest.mark.parametrize(
    'script', ['ok', 'down', 'lost down', 'void down', 'late down', 'late ok']
)
def test_abandon_and_mark_unknown_with_faults(script, call) -> None:
    """Guards against a lost final state and a second run after UNKNOWN.

    The write of the state may fail, or take effect late or without a response.
    """
    environment = ClaimEnvironment()
    store, tables = environment.router('a')
    claim = run(begin(store, 't1'))
    tables.script = script.split()
    run(getattr(store, call)(claim))
    run(store.settle_pending())
    environment.tables.release_held_writes()
    other, _tables = environment.router('b')
    if call == 'abandon':
        assert isinstance(run(begin(other, 't2', body='other')), StartedClaim)
        return
    assert rejection(begin(other, 't2')) == UNKNOWN
    run(store.abandon(claim))
    assert environment.state() == 'unknown'
    run(store.finish(claim, SMALL_RESPONSE))
    assert run(begin(other, 't3')) == SMALL_RESPONSE


def test_large_body_is_stored_before_its_row() -> None:
    """Guards against a row that refers to an object which does not exist.

    The object store may fail while a large response is stored, so the body
    must be written before the row.
    """
    environment = ClaimEnvironment()
    store, _tables = environment.router('a')
    claim = run(begin(store, 't1'))
    environment.objects.faults.down = True
    run(store.finish(claim, LARGE_RESPONSE))
    assert (environment.state(), store.pending_count) == ('claimed', 1)
    assert run(begin(store, 't2')) == LARGE_RESPONSE
    environment.objects.faults.down = False
    run(store.settle_pending())
    environment.objects.faults.down = True
    kind = ErrorKind.STORE_UNAVAILABLE
    assert rejection(begin(store, 't3')) == (kind, Executed.YES)
    environment.objects.faults.down = False
    environment.objects._objects.clear()
    kind = ErrorKind.OUTCOME_UNKNOWN
    assert rejection(begin(store, 't4')) == (kind, Executed.YES)


@pytest.mark.parametrize('steps_count', range(1, 4))
@pytest.mark.parametrize('script', ['ok', 'lost', 'late'])
def test_cancelled_begin_is_settled(steps_count, script) -> None:
    """Guards against a key that stays claimed by a cancelled call.

    The call may be cancelled while its claim write is in transit.
    """
    environment = ClaimEnvironment()
    store, _tables = environment.router('a', script)
    call = begin(store, 't1')
    for _step in range(steps_count):
        try:
            call.send(None)
        except StopIteration:
            return
    call.close()
    run(store.settle_pending())
    environment.tables.release_held_writes()
    assert isinstance(run(begin(store, 't2')), StartedClaim)


@pytest.mark.parametrize(
    ('conclude', 'is_live', 'is_expired', 'expected'),
    [
        ('', True, False, IN_PROGRESS),
        ('', False, False, UNKNOWN),
        ('', True, True, IN_PROGRESS),
        ('', False, True, None),
        ('mark_unknown', False, True, None),
        ('finish', False, False, SMALL_RESPONSE),
        ('finish', True, True, None),
    ],
)
def test_second_request_with_a_key(
    conclude, is_live, is_expired, expected
) -> None:
    """Guards against a second run and against waiting without an end.

    The result of the second request depends on the state of the first one, on
    whether the owner is live and on whether the row has expired.
    """
    environment = ClaimEnvironment()
    store, _tables = environment.router('a')
    claim = run(begin(store, 't1'))
    if conclude:
        arguments = (SMALL_RESPONSE,) if conclude == 'finish' else ()
        run(getattr(store, conclude)(claim, *arguments))
    if not is_live:
        environment.live.clear()
    if is_expired:
        environment.now_seconds += WEEK_SECONDS
    other, _tables = environment.router('b')
    if isinstance(expected, tuple):
        assert rejection(begin(other, 't2')) == expected
    elif expected is None:
        assert run(other.delete_expired(10)) == 1
        assert isinstance(run(begin(other, 't2')), StartedClaim)
    else:
        assert run(begin(other, 't2')) == expected


def test_waiting_request_sees_the_end_of_the_first() -> None:
    """Guards against a waiting request that misses a response or a dead owner.

    Its polls must continue when one of them fails.
    """
    environment = ClaimEnvironment()
    store, _tables = environment.router('a')
    other, _tables = environment.router('b', 'ok', 'down')
    for key, expected in (('k1', SMALL_RESPONSE), ('k2', None)):
        claim = run(begin(store, f'1{key}', key))
        waiting = begin(other, f'2{key}', key)
        for _step in range(20):
            waiting.send(None)
        if expected:
            run(store.finish(claim, SMALL_RESPONSE))
            assert run(waiting) == SMALL_RESPONSE
        else:
            environment.live.discard(('a', 1))
            assert rejection(waiting) == UNKNOWN


def test_reused_token_and_unreadable_row() -> None:
    """Guards against running on the claim of another call or a damaged row.

    A token is the id of a request, which may be used twice; the second call
    then finds a row with its own token. For a damaged row it is unknown whether
    the work has run.
    """
    environment = ClaimEnvironment()
    store, _tables = environment.router('a')
    run(begin(store, 't1'))
    assert rejection(begin(store, 't1')) == IN_PROGRESS
    run(environment.tables.write('claims', 'o/s/noise', b'{}', 0))
    assert rejection(begin(store, 't2', 'noise')) == UNKNOWN


def test_pending_claims_are_bounded() -> None:
    """Guards against memory that grows while the store does not respond.

    Each claim write with an unknown outcome queues a settlement.
    """
    environment = ClaimEnvironment()
    store, tables = environment.router('a', pending_limit_count=2)
    tables.default = 'void'
    for number in range(4):
        assert (
            rejection(begin(store, f't{number}', f'k{number}')) == UNAVAILABLE
        )
    assert store.pending_count == 2
    assert run(store.settle_pending()) == 2
    tables.default = 'ok'
    assert run(store.settle_pending(limit_count=1)) == 1


def test_expired_rows_are_deleted_conditionally() -> None:
    """Guards against deleting the row of a key that is in use again.

    The row may have been replaced after a slow cleanup read it.
    """
    environment = ClaimEnvironment()
    store, tables = environment.router('a')
    other, _tables = environment.router('b')
    for number in range(5):
        claim = run(begin(store, f't{number}', f'k{number}'))
        run(store.finish(claim, SMALL_RESPONSE))
    environment.now_seconds += WEEK_SECONDS
    run(store.finish(run(begin(store, 'new', 'k9')), SMALL_RESPONSE))
    pending_delete = other.delete_expired(2)
    for _step in range(3):
        pending_delete.send(None)
    assert [run(store.delete_expired(2)) for _call in range(4)] == [2, 2, 1, 0]
    run(store.finish(run(begin(store, 'again', 'k0')), SMALL_RESPONSE))
    assert run(pending_delete) == 0
    assert run(begin(other, 'repeat', 'k0')) == SMALL_RESPONSE
    tables.default = 'down'
    assert run(store.delete_expired(2)) == 0


@pytest.mark.parametrize('script', ['void down', 'late down'])
def test_settlement_leaves_the_claim_of_another_router(script) -> None:
    """Guards against marking the claim of another router as NOT_RUN.

    The other router claims the key after a claim write failed, and before that
    write is settled.
    """
    environment = ClaimEnvironment()
    store, _tables = environment.router('a', *script.split())
    other, _tables = environment.router('b')
    assert rejection(begin(store, 't1')) == UNAVAILABLE
    claim = run(begin(other, 't2'))
    environment.tables.release_held_writes()
    assert run(store.settle_pending()) == 0
    assert rejection(begin(store, 't3')) == IN_PROGRESS
    run(other.finish(claim, SMALL_RESPONSE))
    assert run(begin(store, 't4')) == SMALL_RESPONSE


@pytest.mark.parametrize('script', ['void', 'late'])
def test_read_back_finds_the_claim_of_another_router(script) -> None:
    """Guards against running on a row that another router has written.

    The outcome of the claim write is unknown, and it has had no effect when
    the other router writes its row. Then this call reads the row back.
    """
    environment = ClaimEnvironment()
    store, _tables = environment.router('a', script)
    other, _tables = environment.router('b')
    call = begin(store, 't1')
    for _step in range(2):
        call.send(None)
    assert isinstance(run(begin(other, 't2')), StartedClaim)
    assert rejection(call) == IN_PROGRESS
    assert store.pending_count == 0


@in_curio
async def test_over_http() -> None:
    """Guards against errors and cancellation that only HTTP calls show.

    The response to a write may be lost after the write took effect, and a call
    may be cancelled while the table service does not respond.
    """
    owner = ClaimOwner(router_id=RouterId('a'), incarnation=Incarnation(1))
    identity = Identity(owner, lambda *_process: False)
    async with http() as platform:
        store = ClaimStore(
            platform.tables,
            platform.objects,
            time.time,
            curio.sleep,
            identity,
            random.Random(0),
        )
        platform.set_faults(lose_write_answers=True)
        claim = await begin(store, 't1')
        await store.finish(claim, LARGE_RESPONSE)
        assert (store.pending_count, await begin(store, 't2')) == (
            1,
            LARGE_RESPONSE,
        )
        platform.set_faults()
        assert await store.settle_pending() == 0
        assert await begin(store, 't3') == LARGE_RESPONSE
        platform.set_faults(silent=True)
        async with curio.ignore_after(0.05) as limit:
            await begin(store, 't4', 'other')
        assert (limit.expired, store.pending_count) == (True, 1)
        platform.set_faults()
        assert await store.settle_pending() == 0
        claim = await begin(store, 't5', 'other')
        await store.finish(claim, SMALL_RESPONSE)
        assert await begin(store, 't6', 'other') == SMALL_RESPONSE
