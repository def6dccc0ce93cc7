"""Heartbeats: who is live, and what a datagram carries."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.admission import AdmissionCounts
from dotterelhatch.core.fairshare import Usage
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.messages import CrashReport
from dotterelhatch.core.peers import (
    Heartbeat,
    PeerDirectory,
    WindowTotals,
    heartbeat_interval_seconds,
)
from dotterelhatch.core.prompts import PromptPart, SentPrompt
from dotterelhatch.core.rejections import RejectedRequests
from dotterelhatch.gateway.heartbeats import decode_heartbeat, encode_heartbeat
from dotterelhatch.ids import (
    FailureDomain,
    Fingerprint,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)

_NAMES = st.text(min_size=1, max_size=8)
_COUNTS = st.integers(0, 10**9)
_HEARTBEATS = st.builds(
    Heartbeat,
    router=_NAMES.map(RouterId),
    incarnation=_COUNTS.map(Incarnation),
    sequence=_COUNTS,
    failure_domain=_NAMES.map(FailureDomain),
    caller_address=_NAMES,
    control_address=_NAMES,
    heartbeat_address=_NAMES,
    is_ready=st.booleans(),
    is_accepting=st.booleans(),
    snapshot_versions=st.dictionaries(_NAMES, _COUNTS, max_size=3),
    loads=st.dictionaries(
        _NAMES.map(TargetId),
        st.builds(TargetLoad, _COUNTS, _COUNTS, _COUNTS),
        max_size=3,
    ),
    totals=st.none()
    | st.builds(
        WindowTotals,
        usages=st.dictionaries(
            _NAMES.map(OrganisationId),
            st.builds(Usage, _COUNTS, _COUNTS),
            max_size=3,
        ),
        admissions=st.dictionaries(
            _NAMES.map(ServiceId),
            st.dictionaries(
                _NAMES, st.builds(AdmissionCounts, _COUNTS, _COUNTS), max_size=3
            ),
            max_size=2,
        ),
        known_addresses=st.lists(_NAMES, max_size=3).map(tuple),
    ),
    is_source_seen=st.booleans(),
    requests_per_second=_COUNTS.map(float),
    crashes=st.lists(
        st.builds(
            CrashReport,
            _NAMES.map(Fingerprint),
            _NAMES.map(TargetId),
            st.booleans(),
        ),
        max_size=2,
    ).map(tuple),
    sent_prompts=st.lists(
        st.builds(
            SentPrompt,
            _NAMES.map(TargetId),
            st.lists(st.builds(PromptPart, _NAMES, _COUNTS), max_size=3).map(
                tuple
            ),
            _COUNTS,
        ),
        max_size=2,
    ).map(tuple),
    refused=st.lists(st.tuples(_NAMES, st.floats(0, 100)), max_size=2).map(
        tuple
    ),
)


def _beat(
    sequence: int = 1, incarnation: int = 1, **changes: object
) -> Heartbeat:
    fields = {
        'router': RouterId('r2'),
        'incarnation': Incarnation(incarnation),
        'sequence': sequence,
        'failure_domain': FailureDomain('konya'),
        'caller_address': 'c',
        'control_address': 'd',
        'heartbeat_address': 'h2',
        'is_ready': True,
        'is_accepting': True,
        'snapshot_versions': {},
        'loads': {},
    }
    return Heartbeat(**(fields | changes))  # type: ignore[arg-type]


@given(_HEARTBEATS)
def test_a_heartbeat_survives_its_datagram(heartbeat: Heartbeat) -> None:
    """Guards against fields that are swapped or lost between routers."""
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


@given(st.binary(max_size=40) | st.just(b'[]') | st.just(b'{"a":1}'))
def test_other_datagrams_are_refused(datagram: bytes) -> None:
    """Guards against a stray datagram that ends the receiving task."""
    with pytest.raises(ValueError):
        decode_heartbeat(datagram)


def test_a_datagram_that_expands_without_end_is_refused() -> None:
    """Guards against a router whose memory a stray datagram fills."""
    with pytest.raises(ValueError, match='too long'):
        decode_heartbeat(zlib.compress(bytes(5_000_000)))


def test_an_older_heartbeat_replaces_nothing() -> None:
    """Guards against overtaken datagrams and those of a former process."""
    board = PeerDirectory(RouterId('r1'), 'h1')
    assert board.on_heartbeat(_beat(sequence=5, incarnation=2), 0)
    assert not board.on_heartbeat(_beat(sequence=4, incarnation=2), 1)
    assert not board.on_heartbeat(_beat(sequence=9, incarnation=1), 1)
    assert board.on_heartbeat(_beat(sequence=1, incarnation=3), 1)


def test_a_silent_peer_is_not_live_but_still_told() -> None:
    """Guards against a cut that separates two routers for ever."""
    board = PeerDirectory(RouterId('r1'), 'h1')
    board.on_heartbeat(
        _beat(totals=WindowTotals(known_addresses=('h1', 'h3'))), 0
    )
    assert len(board.live(1)) == 1
    assert not board.live(10)
    assert sorted(board.addresses(10)) == ['h2', 'h3']
    assert board.max_live_count == 2


def test_a_router_that_hears_nobody_names_those_it_heard_last() -> None:
    """Guards against a cut router that draws all callers to itself."""
    board = PeerDirectory(RouterId('r1'), 'h1')
    board.on_heartbeat(_beat(), 0)
    board.on_heartbeat(_beat(router=RouterId('r3')), 5)
    assert [one.router for one in board.advertised(6)] == ['r3']
    assert [one.router for one in board.advertised(10)] == ['r2', 'r3']
    assert not board.advertised(60)


def test_many_peers_are_told_less_often() -> None:
    """Guards against control traffic that grows with the square.

    The target is 2.8 % of a core; a heartbeat takes 0.13 ms at 33 routers.
    """
    assert heartbeat_interval_seconds(3) == pytest.approx(0.1)
    for peers_count in (32, 63, 369):
        interval_seconds = heartbeat_interval_seconds(peers_count)
        assert peers_count / interval_seconds * 0.00013 < 0.028


def test_a_returning_request_keeps_its_age_at_every_router() -> None:
    """Load pattern: refused callers that return to another router."""
    here, there = RejectedRequests(), RejectedRequests()
    request = Fingerprint('f')
    here.on_rejected(request, 10.0)
    for name, age_seconds in here.take_unreported(10.1):
        there.on_report(Fingerprint(name), age_seconds, 50.0)
    assert there.age_seconds(request, 50.4) == pytest.approx(0.5)
    assert here.take_unreported(10.2) == ()
    assert there.age_seconds(request, 60) == 0
