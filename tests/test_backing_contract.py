"""Contract that all implementations of the platform services must meet."""

import contextlib

import pytest
from backing_helpers import on_each_platform

from dotterelhatch.ids import FailureDomain
from dotterelhatch.backing.interfaces import (
    HostEntry,
    HostRole,
    HostState,
    PlatformError,
    RateLimited,
    Row,
    StoreUnavailable,
    WeightsInfo,
    WriteConflict,
    WriteOutcomeUnknown,
)

HOST = HostEntry(
    'kochi-a-1',
    HostRole.ENTRY,
    '127.0.0.1:7001',
    FailureDomain('kochi-a'),
    'i-1',
    HostState.LEAVING,
)
WEIGHTS = WeightsInfo('hatch', 'v1', 10, '0' * 64)
CALLS = {
    'read': lambda platform: platform.tables.read('t', 'k'),
    'write': lambda platform: platform.tables.write('t', 'k', b'2', 1),
    'delete': lambda platform: platform.tables.delete('t', 'k', 1),
    'scan': lambda platform: platform.tables.scan('t', ''),
    'put': lambda platform: platform.objects.put('o', b'1'),
    'get': lambda platform: platform.objects.get('o'),
    'hosts': lambda platform: platform.hosts.read_hosts(),
    'weights': lambda platform: platform.weights.describe('hatch', 'v1'),
}


# Keys with characters that must be quoted in a URL.
@pytest.mark.parametrize('key', ['o/s/k', 'a b?c#d%2F', 'ключ', '..', '"&=+'])
@on_each_platform
async def test_row_round_trip(platform, key) -> None:
    """Guards against wrong revisions, changed content and unquoted keys.

    Unless it is quoted in the URL, a key is parsed as a path, a query or a
    fragment, and another row is read or written.
    """
    tables = platform.tables
    assert await tables.read('t', key) is None
    row = await tables.write('t', key, b'\0\xff', 0)
    assert row == Row(key, b'\0\xff', 1) == await tables.read('t', key)
    assert await tables.write('t', key, b'', 1) == Row(key, b'', 2)
    assert await tables.read('t', key) == Row(key, b'', 2)
    assert await tables.read('other', key) is None


@pytest.mark.parametrize('stored_count', [0, 1, 2])
@pytest.mark.parametrize('expected', [0, 1, 2])
@pytest.mark.parametrize('call', ['write', 'delete'])
@on_each_platform
async def test_conditional_write(
    platform, stored_count, expected, call
) -> None:
    """Guards against a write or delete of a row with another revision.

    Two routers that update a row at the same time would overwrite each other's
    change without noticing it.
    """
    tables = platform.tables
    for revision in range(stored_count):
        await tables.write('t', 'k', b'old', revision)
    before = await tables.read('t', 'k')
    content = (b'new',) if call == 'write' else ()
    change = getattr(tables, call)('t', 'k', *content, expected)
    if stored_count == expected:
        await change
        after = Row('k', b'new', expected + 1) if content else None
        assert await tables.read('t', 'k') == after
        return
    with pytest.raises(WriteConflict) as conflict:
        await change
    assert conflict.value.current == before == await tables.read('t', 'k')


@on_each_platform
async def test_revision_continues_after_delete(platform) -> None:
    """Guards against a delayed delete that removes a newer row.

    This happens if a row that is written again after a delete gets a revision
    that the deleted row had.
    """
    await platform.tables.write('t', 'k', b'1', 0)
    await platform.tables.write('t', 'k', b'2', 1)
    await platform.tables.delete('t', 'k', 2)
    assert (await platform.tables.write('t', 'k', b'3', 0)).revision == 3


@pytest.mark.parametrize(
    ('query', 'keys'),
    [
        (('t', 'b/'), ['b/1', 'b/2', 'b/3']),
        (('t', '', 'b/1', 2), ['b/2', 'b/3']),
        (('t', '', 'c', 2), []),
        (('none', ''), []),
    ],
)
@on_each_platform
async def test_scan(platform, query, keys) -> None:
    """Guards against wrong order, prefix, page bounds and content.

    A long table is read in pages, with the last key as ``after``; a wrong bound
    would skip or repeat a row.
    """
    for key in ('b/2', 'a/1', 'b/1', 'b/3', 'c'):
        await platform.tables.write('t', key, b'\xff' + key.encode(), 0)
    rows = [Row(key, b'\xff' + key.encode(), 1) for key in keys]
    assert list(await platform.tables.scan(*query)) == rows


@on_each_platform
async def test_objects_hosts_and_weights(platform) -> None:
    """Guards against changed objects, host entries and descriptions.

    They are encoded for HTTP and decoded again. Storing an object twice must
    succeed, but not with other content.
    """
    content = bytes(range(256)) * 1024
    assert await platform.objects.get('a/b') is None
    for _repeat in range(2):
        await platform.objects.put('a/b', content)
    with pytest.raises(PlatformError):
        await platform.objects.put('a/b', b'other')
    assert await platform.objects.get('a/b') == content
    assert list(await platform.hosts.read_hosts()) == []
    platform.stand_in.hosts.set_hosts([HOST])
    assert list(await platform.hosts.read_hosts()) == [HOST]
    assert await platform.weights.describe('hatch', 'v1') is None
    platform.stand_in.weights.add(WEIGHTS)
    assert await platform.weights.describe('hatch', 'v1') == WEIGHTS


@pytest.mark.parametrize('call', CALLS)
@on_each_platform
async def test_down(platform, call) -> None:
    """Guards against StoreUnavailable for a call that took effect.

    The error promises that the call had no effect, so a caller may repeat it.
    """
    before = await platform.tables.write('t', 'k', b'1', 0)
    platform.set_faults(down=True)
    with pytest.raises(StoreUnavailable):
        await CALLS[call](platform)
    platform.set_faults()
    assert await platform.tables.read('t', 'k') == before
    assert await platform.objects.get('o') is None
    await CALLS[call](platform)


@pytest.mark.parametrize(
    ('call', 'error', 'row'),
    [
        ('write', WriteOutcomeUnknown, Row('k', b'2', 2)),
        ('delete', WriteOutcomeUnknown, None),
        ('put', StoreUnavailable, Row('k', b'1', 1)),
        ('read', None, Row('k', b'1', 1)),
    ],
)
@on_each_platform
async def test_lost_response(platform, call, error, row) -> None:
    """Guards against reporting a write with a lost response as not executed.

    The service applies the write, but the client gets no response. Only ``put``
    may report StoreUnavailable, as storing an object again has no effect.
    """
    await platform.tables.write('t', 'k', b'1', 0)
    platform.set_faults(lose_write_answers=True)
    with pytest.raises(error) if error else contextlib.nullcontext():
        await CALLS[call](platform)
    platform.set_faults()
    assert await platform.tables.read('t', 'k') == row
    stored = b'1' if call == 'put' else None
    assert await platform.objects.get('o') == stored


@pytest.mark.parametrize('call', CALLS)
@on_each_platform
async def test_rate_limit(platform, call) -> None:
    """Guards against an ignored rate limit and a wrong retry delay.

    At 0.5 calls per second the first call uses the only token, and the next one
    is available after 2 s.
    """
    await platform.tables.write('t', 'k', b'1', 0)
    names = ('tables', 'objects', 'hosts', 'weights')
    platform.set_faults(calls_per_second=dict.fromkeys(names, 0.5))
    await CALLS[call](platform)
    error = RateLimited if call == 'weights' else StoreUnavailable
    with pytest.raises(error) as caught:
        await CALLS[call](platform)
    if call == 'weights':
        assert caught.value.retry_after_seconds == 2
    platform.time.now_seconds += 2
    # The write or delete is no longer rate limited, but the revision changed.
    is_change = call in {'write', 'delete'}
    with (
        pytest.raises(WriteConflict)
        if is_change
        else (contextlib.nullcontext())
    ):
        await CALLS[call](platform)


@on_each_platform
async def test_host_list_lag(platform) -> None:
    """Guards against a host list that is newer than the configured lag."""
    platform.set_faults(hosts_lag_seconds=5)
    platform.stand_in.hosts.set_hosts([HOST])
    platform.time.now_seconds += 4
    assert list(await platform.hosts.read_hosts()) == []
    platform.time.now_seconds += 1
    assert list(await platform.hosts.read_hosts()) == [HOST]
