"""Tests of the simulated targets, which other tests and benchmarks use."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from dotterelhatch.net.http import (
    HttpError,
    NotSentError,
    Response,
    ResponseLostError,
    fetch,
)
from dotterelhatch.net.sse import EventSplitter
from standins.common import Faults, TargetStandIn
from standins.engine import Engine, EngineOptions
from standins.plain import PlainService

FAST = EngineOptions(tokens_per_second=2000, prefill_tokens_per_second=1e6)


def run(
    test: Callable[[TargetStandIn], Awaitable[None]], *, plain: bool
) -> None:
    """Run a test against a stand-in in a new curio kernel."""
    service = PlainService(mean_milliseconds=1) if plain else Engine(FAST)

    async def main() -> None:
        async with TargetStandIn(
            service.handle_request, service.report_load
        ) as stand_in:
            await test(stand_in)

    curio.run(main)


async def post_json(
    stand_in: TargetStandIn, path: str, request_id: str = 'r1', **document: Any
) -> Response:
    """Post a JSON document to the service port."""
    return await fetch(
        stand_in.address,
        'POST',
        path,
        (('X-Request-Id', request_id),),
        json.dumps(document).encode(),
        timeout_seconds=60,
    )


@pytest.mark.parametrize('chat', [False, True])
def test_engine_stream_equals_whole_response(chat: bool) -> None:
    """Guards against tokens lost, repeated or reordered in streams.

    Other tests compare what a router relays with the tokens of the engine,
    and would take its fault for one of the router.
    """

    async def test(stand_in: TargetStandIn) -> None:
        path = '/v1/chat/completions' if chat else '/v1/completions'
        document: dict[str, Any] = {'emulated_tokens': 5, 'prompt': 'a b'}
        if chat:
            document['messages'] = [{'role': 'user', 'content': 'a b'}]
        complete_response = json.loads(
            (await post_json(stand_in, path, **document)).body
        )
        document['stream'] = True
        stream = await post_json(stand_in, path, **document)
        assert stream.header('X-Request-Id') == 'r1'
        *chunks, done = EventSplitter().feed(stream.body)
        assert done.data == '[DONE]'
        parts = [json.loads(chunk.data) for chunk in chunks]
        assert [part['chunk_id'] for part in parts] == list(range(5))
        assert parts[-1]['usage'] == complete_response['usage']
        text = ''.join(
            part['choices'][0]['delta']['content']
            if chat
            else part['choices'][0]['text']
            for part in parts
        )
        choice = complete_response['choices'][0]
        assert text == (
            choice['message']['content'] if chat else choice['text']
        )
        assert complete_response['usage']['completion_tokens'] == 5

    run(test, plain=False)


def test_engine_runs_requests_together() -> None:
    """Guards against tokens that reach another request of the same batch.

    The requests share the steps of the engine and end after different
    numbers of tokens, while the others go on.
    """

    async def test(stand_in: TargetStandIn) -> None:
        async with curio.TaskGroup() as group:
            for number in range(20):
                await group.spawn(send_one, stand_in, number)
        assert stand_in.journal.executions_count == 20

    async def send_one(stand_in: TargetStandIn, number: int) -> None:
        response = await post_json(
            stand_in,
            '/v1/completions',
            request_id=f'r{number}',
            prompt=f'prompt {number}',
            emulated_tokens=number + 1,
        )
        document = json.loads(response.body)
        assert document['id'] == f'cmpl-r{number}'
        assert len(document['choices'][0]['text'].split()) == number + 1

    run(test, plain=False)


def test_plain_service_echoes_requests_and_records_them() -> None:
    """Guards against journals that hide duplicate writes.

    Other tests and benchmarks count executions by key and digest.
    """

    async def test(stand_in: TargetStandIn) -> None:
        response = await post_json(stand_in, '/stock/7?x=1', amount=3)
        echoed = json.loads(response.body)
        assert (echoed['method'], echoed['path']) == ('POST', '/stock/7?x=1')
        await fetch(stand_in.address, 'GET', '/stock/7')
        journal_response = await fetch(
            stand_in.control_address, 'GET', '/journal'
        )
        journal = json.loads(journal_response.body)
        assert journal['runs_count'] == 2
        (write,) = journal['writes']
        assert write['digest'] == echoed['digest']
        assert write['outcome'] == 'complete'

    run(test, plain=True)


@pytest.mark.parametrize('plain', [False, True])
@pytest.mark.parametrize('stream', [False, True])
def test_truncate_and_wrong_id(plain: bool, stream: bool) -> None:
    """Guards against faults without effect.

    Tests of the router that inject them would pass without the fault that
    they are to cover.
    """
    path = '/v1/completions'

    async def test(stand_in: TargetStandIn) -> None:
        await stand_in.set_faults(Faults(truncate=True))
        with pytest.raises(ResponseLostError):
            await post_json(stand_in, path, emulated_tokens=4, stream=stream)
        await stand_in.set_faults(Faults(wrong_id=True, every_count=2))
        ids = {
            (
                await post_json(
                    stand_in, path, emulated_tokens=1, stream=stream
                )
            ).header('X-Request-Id')
            for _ in range(2)
        }
        assert len(ids) == 2

    run(test, plain=plain)


async def poll_health(
    stand_in: TargetStandIn, expected_error: type[HttpError] | None
) -> None:
    """Poll ``/health`` until it fails with an error type, or succeeds."""
    while True:
        try:
            await fetch(stand_in.address, 'GET', '/health')
        except HttpError as error:
            if type(error) is expected_error:
                return
        else:
            if expected_error is None:
                return


def test_down_and_crash() -> None:
    """Guards against crashes that keep connections or the instance id.

    A crash loses the requests of all connections, and the process that
    starts after it is another instance. A target that is down must refuse
    connections until the fault is cleared.
    """

    async def test(stand_in: TargetStandIn) -> None:
        before = stand_in.instance
        await stand_in.set_faults(Faults(crash_marker='BOOM', crash_seconds=0))
        async with curio.TaskGroup() as group:
            await group.spawn(
                expect_lost_response,
                stand_in,
                {'X-Emulated-Milliseconds': '9e5'},
            )
            while not stand_in.journal.executions_count:
                await curio.sleep(0)
            await group.spawn(
                expect_lost_response, stand_in, {'X-Marker': 'BOOM'}
            )
        assert stand_in.instance != before
        await stand_in.set_faults(Faults(down=True))
        await poll_health(stand_in, NotSentError)
        await fetch(stand_in.control_address, 'PUT', '/faults', body=b'{}')
        await poll_health(stand_in, None)

    async def expect_lost_response(
        stand_in: TargetStandIn, headers: dict[str, str]
    ) -> None:
        with pytest.raises(ResponseLostError):
            await fetch(
                stand_in.address,
                'POST',
                '/',
                tuple(headers.items()),
                json.dumps(headers).encode(),
                timeout_seconds=60,
            )

    run(test, plain=True)


def test_new_connections_work_after_a_silent_one() -> None:
    """Guards against a fault that silences connections opened after it.

    A connection that became silent stays so, and a new one must work as
    soon as the fault is cleared.
    """

    async def test(stand_in: TargetStandIn) -> None:
        await stand_in.set_faults(Faults(silent=True))
        with pytest.raises(ResponseLostError):
            await fetch(
                stand_in.address, 'GET', '/health', timeout_seconds=0.05
            )
        await stand_in.set_faults(Faults())
        assert (await fetch(stand_in.address, 'GET', '/health')).status == 200

    run(test, plain=True)


@pytest.mark.parametrize('checked', [True, False])
def test_orders_with_outdated_fencing_token(checked: bool) -> None:
    """Guards against a simulated engine that ignores outdated fencing tokens.

    Some engines reject an outdated token, others ignore it: the check can be
    switched off.
    """

    async def test(stand_in: TargetStandIn) -> None:
        await stand_in.set_faults(Faults(check_fencing=checked))
        statuses = [
            (await post_json(stand_in, '/orders', fencing=number)).status
            for number in (5, 4, 5, 6)
        ]
        assert statuses == [200, 409 if checked else 200, 200, 200]

    run(test, plain=False)
