"""Tests of the soak test: short runs with fixed seeds, and its checks."""

import random
from pathlib import Path

import pytest

from dotterelhatch.net.http import HttpError, HttpServer, fetch
from soak.faults import FLOODS, REFUSALS, RESTORES
from soak.proxy import FaultProxy, NetworkFault
from soak.run import SoakSettings, run_soak
from soak.servers import expected_body, expected_stream
from standins.row_store import RowStore
from tests.gateway_helpers import run_async

# The seeds after the first one failed before; the comment gives the cause.
SEEDS = (
    pytest.param(1, id='short-run'),
    # SIGHUP reached a router before it installed its handler and killed it.
    pytest.param(5133729, id='reload-during-start'),
    # The same fault, in a router that another fault had just restarted.
    pytest.param(4494648, id='reload-during-restart'),
)


@pytest.mark.parametrize('seed', SEEDS)
def test_guarantees_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Guards against mixed-up responses, repeated executions and hung routers.

    They come about if routers, servers, the network or the store fail while
    requests are in flight: after a lost connection a router does not know
    whether a server has executed the request.
    """
    result = run_soak(SoakSettings(seed, tmp_path, faulty_seconds=6))
    assert not result.problems, result
    assert result.outcomes['served'] > 20


def test_leaving_servers_are_not_used_while_the_store_refuses_a_router(
    tmp_path: Path,
) -> None:
    """Guards against an outage of one router that counts as one of the store.

    Servers leave, without a word, about when the router is answered again.
    """
    settings = SoakSettings(4, tmp_path, faulty_seconds=10, faults=REFUSALS)
    result = run_soak(settings)
    assert not result.problems, result
    assert result.outcomes['served'] > 20


@pytest.mark.parametrize('seed', [5, 6])
def test_guarantees_hold_while_the_store_comes_back_from_copies(
    seed: int, tmp_path: Path
) -> None:
    """Guards against state that only a store without losses allows."""
    settings = SoakSettings(seed, tmp_path, faulty_seconds=6, faults=RESTORES)
    result = run_soak(settings)
    assert not result.problems, result
    assert result.outcomes['served'] > 20


def test_guarantees_hold_while_callers_flood_one_router(
    tmp_path: Path,
) -> None:
    """Guards against requests that are lost or mixed up between routers.

    The flooded router passes requests on while routers are killed, stopped
    and paused.
    """
    settings = SoakSettings(7, tmp_path, faulty_seconds=8, faults=FLOODS)
    result = run_soak(settings)
    assert not result.problems, result
    assert result.outcomes['served'] > 20


def test_expected_responses_differ_between_requests() -> None:
    """Guards against a soak test that can't detect mixed-up responses.

    If two requests expect the same content, a router may exchange their
    responses unnoticed. A resumed stream must continue the same events.
    """
    assert expected_body('a') != expected_body('b')
    assert expected_stream('a').startswith(b'id: 1\n')
    assert expected_stream('a').endswith(expected_stream('a', first=5))


@run_async
async def test_proxy_forwards_again_after_a_fault() -> None:
    """Guards against a proxy that rejects connections after its fault ended.

    The soak test would then report the proxy as routers that don't recover.
    """
    store = RowStore()
    async with HttpServer('127.0.0.1:0', store) as server:
        target = f'127.0.0.1:{server.port}'
        async with FaultProxy(target, random.Random(1)) as proxy:
            proxy.set_fault(NetworkFault.REFUSED)
            with pytest.raises(HttpError):
                await fetch(proxy.address, 'GET', '/x', timeout_seconds=2)
            proxy.set_fault(None)
            response = await fetch(
                proxy.address, 'GET', '/x', timeout_seconds=2
            )
            assert response.status == 404
