"""The fault soak: a short run, and the seeds that ever failed."""

import random
from pathlib import Path

import pytest

from dotterelhatch.net.http import HttpError, HttpServer, fetch
from soak.proxy import FaultProxy, PathFault
from soak.run import SoakSettings, run_soak
from soak.servers import answer_of, stream_of
from standins.row_store import RowStore
from tests.gateway_helpers import run_async

# Seed and the cause of its failure.
SEEDS = (
    pytest.param(1, id='short-run'),
    # A SIGHUP met a router before its handler was set, and ended it.
    pytest.param(5133729, id='reload-during-start'),
    pytest.param(4494648, id='reload-during-restart'),
)


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_faults_from_outside(
    seed: int, tmp_path: Path
) -> None:
    """Guards against answers mixed, work run twice and routers that hang."""
    result = run_soak(SoakSettings(seed, tmp_path, faulty_seconds=6))
    assert not result.problems, result
    assert result.endings['served'] > 20


def test_answers_show_their_request() -> None:
    """Guards against a soak that can't tell crossed answers."""
    assert answer_of('a') != answer_of('b')
    assert stream_of('a').startswith(b'id: 1\n')
    assert stream_of('a').endswith(stream_of('a', first=5))


@run_async
async def test_a_refused_path_is_back_after_the_fault() -> None:
    """Guards against faults of the proxy that outlast their time."""
    store = RowStore()
    async with HttpServer('127.0.0.1:0', store) as server:
        target = f'127.0.0.1:{server.port}'
        async with FaultProxy(target, random.Random(1)) as proxy:
            proxy.set_fault(PathFault.REFUSED)
            with pytest.raises(HttpError):
                await fetch(proxy.address, 'GET', '/x', timeout_seconds=2)
            proxy.set_fault(None)
            response = await fetch(
                proxy.address, 'GET', '/x', timeout_seconds=2
            )
            assert response.status == 404
