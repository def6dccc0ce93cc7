"""Size of what a router reports to its peers, and keeps of their reports."""

import random
import tracemalloc

import pytest

from dotterelhatch.core.crashcauses import CrashedRun
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.peers import Heartbeat, PeerDirectory
from dotterelhatch.core.prompts import (
    Prompt,
    PromptPart,
    PromptReports,
    SentPrompt,
    limit_parts,
)
from dotterelhatch.core.rejections import RejectedRequests
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.heartbeats import (
    decode_heartbeat,
    encode_fitting_heartbeat,
    encode_heartbeat,
)
from dotterelhatch.ids import (
    CauseId,
    FailureDomain,
    Fingerprint,
    Incarnation,
    OrganisationId,
    RouterId,
    TargetId,
)
from dotterelhatch.platform.wire import PlatformWireFormat
from tests.gateway_helpers import (
    MODEL,
    gateway_settings,
    routing_table,
    run_async,
    target,
)

MAX_DATAGRAM_BYTES = 65_507
TARGET = TargetId('m-1')
# Larger than those of any deployment that is played.
TARGETS_COUNT = 60
ORGANISATIONS_COUNT = 100


def _prompt(rng: random.Random, parts_count: int) -> Prompt:
    parts = [
        PromptPart(f'{rng.getrandbits(64):016x}', rng.randrange(1000))
        for _ in range(parts_count)
    ]
    return Prompt(limit_parts(parts), 1000, 10)


def _sent(rng: random.Random, parts_count: int) -> SentPrompt:
    return SentPrompt(TARGET, _prompt(rng, parts_count).parts, 300_000)


def _heartbeat(number: int = 1, **reports: object) -> Heartbeat:
    return Heartbeat(
        RouterId(f'router-{number}'),
        Incarnation(1),
        1,
        FailureDomain('konya'),
        '10.0.0.1:1',
        '10.0.0.1:2',
        f'10.0.0.{number}:3',
        is_ready=True,
        is_accepting=True,
        snapshot_versions={'op': 1},
        **({'loads': {}} | reports),  # type: ignore[arg-type]
    )


def _fill(gateway: Gateway, rng: random.Random) -> None:
    """Let callers cause all that a heartbeat reports."""
    state = gateway.state
    now_seconds = state.clock()
    for _ in range(300):
        state.record_sent_prompt(_sent(rng, 1_000))
    for _ in range(3_000):
        fingerprint = Fingerprint(f'{rng.getrandbits(128):032x}')
        state.rejected_requests.on_rejected(fingerprint, now_seconds)
    for number in range(ORGANISATIONS_COUNT):
        organisation = OrganisationId(f'organisation-{number}')
        state.fair_shares.on_arrived(
            organisation, rng.getrandbits(20), now_seconds
        )
    for number in range(TARGETS_COUNT):
        state.load_tracker.start(
            TargetId(f'i-{rng.getrandbits(32):08x}'),
            TargetLoad(1, rng.getrandbits(20), rng.getrandbits(20)),
            now_seconds,
        )
    for number in range(300):
        entry = target(MODEL, f'{number:0>400}', 1)
        state.target_speeds.on_first_event(
            entry, None, 1000, rng.randrange(6), 0.1, now_seconds
        )


def _runs(
    rng: random.Random, count: int, causes_count: int
) -> list[CrashedRun]:
    return [
        CrashedRun(
            tuple(CauseId(rng.getrandbits(64)) for _ in range(causes_count)),
            0.1,
        )
        for _ in range(count)
    ]


def _crash(gateway: Gateway, rng: random.Random) -> None:
    """Let callers crash targets, first by requests that are known by now."""
    causes = gateway.state.crash_causes
    now_seconds = gateway.state.clock()
    at_seconds = now_seconds - 500
    for _ in range(60):
        runs = _runs(rng, 1, 65)
        for _ in range(3):
            at_seconds += 2
            causes.on_crash(TARGET, runs, at_seconds)
        causes.decide(at_seconds + 1, 0.2)
    for number in range(16):
        runs = _runs(rng, 64, 16)
        causes.on_crash(TargetId(f'm-{number}'), runs, now_seconds - 1)


@run_async
async def test_callers_cannot_make_a_heartbeat_too_long() -> None:
    """Guards against one caller that silences the heartbeats of its router.

    Prompts of many parts, many rejections or crashes made a heartbeat longer
    than a datagram. The system refused to send it, and peers took the router
    for lost.
    """
    settings = gateway_settings(learns_target_speeds=True)
    gateway = Gateway(settings, PlatformWireFormat())
    gateway.state.apply_table(routing_table())
    listed = [target(MODEL, f'{number:0>400}', 1) for number in range(300)]
    gateway.state.apply_targets([target(MODEL, TARGET, 1), *listed], None)
    _fill(gateway, random.Random(1))
    _crash(gateway, random.Random(1))
    heartbeat = gateway._heartbeat(gateway.state.clock(), is_to_all=True)
    assert heartbeat.totals is not None
    evidence = heartbeat.totals.crash_evidence
    assert evidence is not None and evidence.crashes and evidence.rejected
    assert heartbeat.sent_prompts and heartbeat.refused
    assert heartbeat.totals.target_speeds
    assert len(encode_heartbeat(heartbeat)) <= MAX_DATAGRAM_BYTES


def test_short_prompts_are_reported_beside_long_ones() -> None:
    """Guards against prompts of many parts that hide those of others."""
    rng = random.Random(1)
    reports = PromptReports()
    short = [_sent(rng, 3) for _ in range(20)]
    for one in short:
        for _ in range(10):
            reports.add(_sent(rng, 700))
        reports.add(one)
    reported = reports.take()
    assert [sent for sent in reported if len(sent.parts) == 3] == short
    assert sum(len(sent.parts) for sent in reported) <= 1_000
    assert not reports.take()


@pytest.mark.parametrize('targets_count', [10, 1_000, 5_000])
def test_a_heartbeat_that_is_too_long_is_shortened(targets_count: int) -> None:
    """Guards against a router that is taken for lost because of its reports.

    In a fleet of thousands of targets the loads alone may be too long.
    """
    rng = random.Random(1)
    loads = {
        TargetId(f'i-{rng.getrandbits(128):032x}'): TargetLoad(
            1, rng.getrandbits(20), rng.getrandbits(20)
        )
        for _ in range(targets_count)
    }
    sent = tuple(_sent(rng, 100) for _ in range(100))
    heartbeat = _heartbeat(loads=loads, sent_prompts=sent)
    datagram, is_shortened = encode_fitting_heartbeat(heartbeat)
    decoded = decode_heartbeat(datagram)
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    assert is_shortened
    assert not decoded.sent_prompts
    assert bool(decoded.loads) == (targets_count < 5_000)
    assert (decoded.router, decoded.is_ready) == (heartbeat.router, True)
    short = _heartbeat(loads={})
    assert encode_fitting_heartbeat(short) == (encode_heartbeat(short), False)


def test_rejections_of_peers_are_forgotten_without_own_requests() -> None:
    """Guards against a router that keeps all rejections of its peers.

    They were forgotten as own requests arrived, and a router that no caller
    uses has none.
    """
    rejected = RejectedRequests()
    tracemalloc.start()
    for number in range(50_000):
        fingerprint = Fingerprint(f'{number:032x}')
        rejected.on_report(fingerprint, 0.1, number / 1_000)
    current_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert current_bytes < 8_300 * 400
    assert rejected.age_seconds(Fingerprint(f'{49_999:032x}'), 50) > 0


def test_rejections_that_do_not_fit_are_reported_later() -> None:
    """Guards against retries that count as new requests at another router."""
    rejected = RejectedRequests()
    for number in range(700):
        rejected.on_rejected(Fingerprint(str(number)), 1.0)
    first, second = (rejected.take_unreported(1.5) for _ in range(2))
    assert [name for name, _ in (*first, *second)] == [
        str(number) for number in range(700)
    ]
    assert len(first) < 700
    assert rejected.take_unreported(1.6) == ()


def test_reports_of_peers_are_not_kept_with_their_heartbeats() -> None:
    """Guards against memory that grows with the peers and their callers.

    The directory kept the latest heartbeat of each peer with all reports.
    """
    rng = random.Random(1)
    datagrams = [
        encode_heartbeat(
            _heartbeat(
                number, sent_prompts=tuple(_sent(rng, 60) for _ in 'abc')
            )
        )
        for number in range(1, 78)
    ]
    directory = PeerDirectory(RouterId('router-0'), '10.0.0.0:3')
    tracemalloc.start()
    for datagram in datagrams:
        assert directory.on_heartbeat(decode_heartbeat(datagram), 1.0)
    current_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert current_bytes < 77 * 4_096
    assert len(directory.live(1.5)) == 77
