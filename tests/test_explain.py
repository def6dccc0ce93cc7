"""Explaining where a request would go, by the gateway and the command."""

import json
from dataclasses import replace
from typing import Any

import pytest
from typer.testing import CliRunner

from dotterelhatch.cli import _clients, app
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.ids import FailureDomain, TargetId
from dotterelhatch.net.http import Response, fetch
from standins.server import ServerStandIn
from tests.gateway_helpers import (
    HOST,
    KEY,
    MODEL,
    PLAIN,
    GatewayFixture,
    open_gateway,
    run_async,
    target,
)

PROMPT_HEADERS = (
    ('Host', HOST),
    ('Dotterelhatch-Token-Counts', '900,80'),
    ('Dotterelhatch-Prompt-Prefix', 'aa:600,bb:300'),
)


async def explain(fixture: GatewayFixture, **question: Any) -> Response:
    """Ask the gateway; headers are those of a prompt by default."""
    fields = {'path': '/draft/1', 'headers': PROMPT_HEADERS, **question}
    return await fetch(
        fixture.gateway.settings.metrics_address,
        'POST',
        '/explain',
        body=json.dumps(fields).encode(),
    )


@run_async
async def test_a_request_is_explained_and_not_sent() -> None:
    """Guards against an explanation that changes what it explains.

    Nothing runs, and neither load nor usage is counted.
    """
    servers = [ServerStandIn('m1'), ServerStandIn('m2')]
    async with open_gateway(*((MODEL, one) for one in servers)) as fixture:
        state = fixture.gateway.state
        state.load_tracker.add(TargetId('m1'), TargetLoad(3, 90_000, 100_000))
        response = await explain(fixture, organisation='usta-kazim')
        explanation = json.loads(response.body)
        assert not fixture.runs
        assert state.load_tracker.total(TargetId('m2')) == TargetLoad()
        assert not state.fair_shares.local_usages
        assert not state.admission_windows[MODEL].local_counts(state.clock())
    (service,) = explanation['services']
    assert explanation['organisation'] == 'usta-kazim'
    assert (service['outcome'], service['target']) == ('placed', 'm2')
    assert [one['unread_tokens'] for one in service['targets']] == [90_000, 0]


@run_async
async def test_each_target_that_is_left_out_has_a_reason() -> None:
    """Guards against targets that are missing from an explanation.

    An operator asks why a target gets nothing: one pauses, one was replaced,
    one fails, one has a rate limit, and one is in an evacuated domain.
    """
    async with open_gateway() as fixture:
        state = fixture.gateway.state
        entries = [target(PLAIN, f'p{one}', 1) for one in range(5)]
        elsewhere = FailureDomain('kayseri')
        entries.append(
            replace(target(PLAIN, 'p5', 1), failure_domain=elsewhere)
        )
        state.apply_targets(entries, None)
        state.apply_evacuations(frozenset((elsewhere,)), 0)
        now_seconds = state.clock()
        state.balancer.pauses.on_answer(
            entries[0], 2.0, now_seconds, now_seconds
        )
        state.registry.mark_replaced(entries[1].id)
        state.health.on_timeout(entries[2].id, now_seconds)
        state.target_limits.on_answer(entries[3], 1.0, 0, now_seconds)
        for _ in range(2):
            state.target_limits.on_placed(entries[3], now_seconds)
        response = await explain(
            fixture, path='/lookup/1', headers=[('Host', HOST)],
            organisation='usta-kazim',
        )  # fmt: skip
        (service,) = json.loads(response.body)['services']
    assert service['target'] == 'p4'
    assert [sorted(one['exclusions']) for one in service['targets']] == [
        ['paused'],
        ['replaced'],
        ['unresponsive'],
        ['rate_limited'],
        [],
        ['evacuated'],
    ]


@run_async
async def test_a_rejection_is_explained_with_its_retry_after() -> None:
    """Guards against an explanation of placements only.

    No target is ready: a request would be rejected at once.
    """
    async with open_gateway() as fixture:
        response = await explain(fixture, headers=[
            *PROMPT_HEADERS, ('Authorization', f'Bearer {KEY}'),
        ])  # fmt: skip
        (service,) = json.loads(response.body)['services']
    assert (service['outcome'], service['reason']) == ('rejected', 'no_target')
    assert service['retry_after_seconds'] > 0


@pytest.mark.parametrize(
    ('question', 'status'),
    [
        ({'path': '/unknown/'}, 404),
        ({'organisation': 'nobody'}, 404),
        ({}, 401),
        ({'path': 7}, 400),
        ({'headers': [('Dotterelhatch-Token-Counts', 'x')]}, 400),
    ],
)
def test_a_question_without_an_answer_gets_an_error(
    question: dict[str, Any], status: int
) -> None:
    """Guards against a question that ends the process or gets no answer."""

    @run_async
    async def ask() -> None:
        async with open_gateway() as fixture:
            response = await explain(fixture, **question)
            assert response.status == status
            assert 'detail' in json.loads(response.body)

    ask()


def test_the_command_prints_the_choice_and_the_reasons(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against output in which a reason is missing."""
    asked = []

    async def answer(
        address: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        asked.append((address, method, path, json.loads(body)))
        return 200, json.dumps(EXPLANATION).encode()

    monkeypatch.setattr(_clients, 'fetch', answer)
    result = CliRunner().invoke(
        app,
        ['explain', '127.0.0.1:9464', '/draft/1', '-H', 'Host: a', '-H', 'X:y'],
    )
    assert result.exit_code == 0
    assert asked[0][3]['headers'] == [['Host', 'a'], ['X', 'y']]
    assert 'rejected: overloaded, shortest wait 900 ms' in result.output
    assert 'm1 in konya: not used: paused for 1500 ms, leaving' in result.output


def test_the_command_rejects_a_header_without_colon() -> None:
    """Guards against a header that is silently left out."""
    result = CliRunner().invoke(
        app, ['explain', '127.0.0.1:9464', '/', '-H', 'Host']
    )
    assert result.exit_code != 0
    assert 'not a header' in result.output


EXPLANATION = {
    'router': 'r1',
    'table_version': 3,
    'is_source_current': True,
    'route': 'draft',
    'organisation': None,
    'services': [
        {
            'service': 'llm',
            'weight': 1.0,
            'outcome': 'rejected',
            'reason': 'overloaded',
            'wait_ms': 900,
            'retry_after_seconds': 0.5,
            'used_share': 1.2,
            'rejection_rate': 0.25,
            'targets': [
                {
                    'target': 'm1',
                    'failure_domain': 'konya',
                    'slots_count': 64,
                    'requests_count': 3,
                    'unread_tokens': 10,
                    'exclusions': {'paused': 1500, 'leaving': None},
                },
            ],
        },
    ],
}
