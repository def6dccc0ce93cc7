"""Tests of heartbeats, the directory of peers and reported rejections."""

import zlib
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.admission import AdmissionCounts
from dotterelhatch.core.crashcauses import (
    CompletedCause,
    CrashEvidence,
    CrashView,
    RejectedSet,
)
from dotterelhatch.core.fairshare import Usage
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.peers import (
    Heartbeat,
    PeerDirectory,
    WindowTotals,
    heartbeat_interval_seconds,
)
from dotterelhatch.core.prompts import PromptPart, SentPrompt
from dotterelhatch.core.rejections import RejectedRequests
from dotterelhatch.core.speeds import SpeedReport
from dotterelhatch.core.targetlimits import LimitReport
from dotterelhatch.gateway.heartbeats import (
    _COMPRESSION_DICTIONARY,
    check_heartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from dotterelhatch.ids import (
    CauseId,
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
_CAUSES = st.integers(0, 2**64 - 1).map(CauseId)
_CAUSE_TUPLES = st.lists(_CAUSES, max_size=3).map(tuple)
_EVIDENCE = st.builds(
    CrashEvidence,
    crashes=st.lists(
        st.builds(
            CrashView,
            _NAMES.map(TargetId),
            st.floats(0, 100),
            st.lists(_CAUSE_TUPLES, max_size=2).map(tuple),
            st.lists(st.floats(0, 100), max_size=2).map(tuple),
        ),
        max_size=2,
    ).map(tuple),
    rejected=st.lists(
        st.builds(
            RejectedSet,
            _CAUSE_TUPLES,
            st.floats(0, 100),
            _COUNTS,
            st.booleans(),
        ),
        max_size=2,
    ).map(tuple),
    completed=st.lists(
        st.builds(CompletedCause, _CAUSES, st.floats(0, 100)), max_size=2
    ).map(tuple),
    claim_age_seconds=st.none() | st.floats(0, 100),
)
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
        crash_evidence=st.none() | _EVIDENCE,
        target_limits=st.lists(
            st.builds(
                LimitReport,
                _NAMES.map(TargetId),
                _COUNTS,
                st.none() | st.floats(0, 100),
                st.floats(0, 100),
            ),
            max_size=2,
        ).map(tuple),
        target_speeds=st.lists(
            st.builds(
                SpeedReport,
                _NAMES.map(TargetId),
                _COUNTS,
                st.booleans(),
                st.lists(
                    st.tuples(st.integers(0, 3), _COUNTS, _COUNTS), max_size=4
                ).map(tuple),
            ),
            max_size=2,
        ).map(tuple),
    ),
    is_source_seen=st.booleans(),
    requests_per_second=_COUNTS.map(float),
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


def _heartbeat(
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
def test_heartbeat_survives_encoding(heartbeat: Heartbeat) -> None:
    """Guards against fields that are swapped or lost between routers.

    A heartbeat consists of nested objects that are packed and compressed.
    """
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


# Sent by a build that knows no usage of plain services.
_EARLIER_DATAGRAM = bytes.fromhex(
    '783f7a11a27165d1dd0d40301440e1620223fa799798a058e0ae701f94d0'
    'b4696ca07b9845a22db735c2f9cec54ae190b1df0973b606e74cc5d0d8aa'
    '981a2b9d60636d7edcd8ac01dc4a2a6ecd8f9ccf8f39170e7d122e63c06e'
    '94b4b5903436dfbe4cae934e50f1b9f3787dbf756cf1ef40d279b0f87b70'
    '032bfb84bd'
)


def test_heartbeat_of_an_earlier_build_is_understood() -> None:
    """Guards against routers that are silent to each other in an upgrade."""
    totals = decode_heartbeat(_EARLIER_DATAGRAM).totals
    usages = {OrganisationId('o'): Usage(3, 2)}
    assert totals == WindowTotals(usages=usages)


# Sent by build d916d1d, before the decoder checked ranges.
_FORMER_DATAGRAM = bytes.fromhex(
    '783f7a11a27165944f4ac34018c5a75a154411bd821b372999264da21b71'
    '212e74e309cae82425506d4944c485b6a9b8148b5b51504c6b4dd2160fa0'
    'e85213c10388b8e9c64338f9d33613b34a78df4786f77b6fbec0ac199adc'
    '917141660ae85045bb7b7299810f31d73f00485dcf1f2d1c37fbf6bbe94f'
    '8726703fd87568160e643330c366386e491225ae9d4043cbb9ee3f52b101'
    '9167d9661fdcab1527f7dafd87ceb82995c9391bbaacf934ddf4cf5d00d3'
    'b054661166b3426e0b2ab99a435b3d62535ebb2b1b3665b77bf044f6b731'
    '96142820ac24f76712fb2f1ebdef81d4fb9a19e6e9d40c09198d925660c9'
    '635871981e9838dbb4e2443d3059fc8d866172787cae97189ebaba6c0de1'
    '57da09fa753b4203977c67ad729134291f1ea9e20441cecbfb2af6fbf66c'
    '8759cd1755d25fbd7e6286dfb72a035b3a79f72bbda38f75023d5688e707'
    '92c1a81cfadbf237081e876ed2cbe300c2b04ac08a77a85e8bfe48d1bb0b'
    'aa7361dca8b8252124f0121231b6c2fc87dd590f44192aacb00d791e51a2'
    '3b950d644e44ca161644659196a7ab56bc961e18e9ad36a2369fb707912b'
    '97c8fda55749e06a4d8d58e6976df456d650aa115d2424887f50e368f5'
)


def _unpack(datagram: bytes) -> Any:
    decompressor = zlib.decompressobj(zdict=_COMPRESSION_DICTIONARY)
    return msgspec.msgpack.decode(decompressor.decompress(datagram))


def _includes(sent: Any, former: Any) -> bool:
    if isinstance(former, dict):
        return isinstance(sent, dict) and all(
            key in sent and _includes(sent[key], part)
            for key, part in former.items()
        )
    if isinstance(former, list):
        return len(sent) == len(former) and all(map(_includes, sent, former))
    return bool(sent == former)


def test_former_builds_understand_the_datagrams() -> None:
    """Guards against routers that are silent to each other in an upgrade.

    The decoded heartbeat of a former build is sent again with all that it had,
    so that a former build understands what this one sends. Fields may be added,
    which it ignores.
    """
    heartbeat = decode_heartbeat(_FORMER_DATAGRAM)
    check_heartbeat(heartbeat)
    assert len(heartbeat.loads) == 2 and heartbeat.sent_prompts
    assert heartbeat.totals is not None and heartbeat.totals.target_limits
    sent = _unpack(encode_heartbeat(heartbeat))
    assert _includes(sent, _unpack(_FORMER_DATAGRAM))


@given(st.binary(max_size=40) | st.just(b'[]') | st.just(b'{"a":1}'))
def test_invalid_datagrams_are_rejected(datagram: bytes) -> None:
    """Guards against an invalid datagram that ends the receiving task.

    The task expects a ValueError for data that is not a heartbeat; any other
    exception would end it.
    """
    with pytest.raises(ValueError):
        decode_heartbeat(datagram)


def test_datagram_that_expands_too_much_is_rejected() -> None:
    """Guards against a datagram whose decompression fills the memory.

    A few kilobytes of compressed zeros expand to several megabytes.
    """
    with pytest.raises(ValueError, match='too long'):
        decode_heartbeat(zlib.compress(bytes(5_000_000)))


def test_older_heartbeat_is_ignored() -> None:
    """Guards against reordered datagrams and those of an old incarnation.

    An old heartbeat that arrives late must not replace the state of a newer
    one.
    """
    directory = PeerDirectory(RouterId('r1'), 'h1')
    assert directory.on_heartbeat(_heartbeat(sequence=5, incarnation=2), 0)
    assert not directory.on_heartbeat(_heartbeat(sequence=4, incarnation=2), 1)
    assert not directory.on_heartbeat(_heartbeat(sequence=9, incarnation=1), 1)
    assert directory.on_heartbeat(_heartbeat(sequence=1, incarnation=3), 1)


def test_unreachable_peer_still_gets_heartbeats() -> None:
    """Guards against routers that stay separated after a partition.

    A peer without recent heartbeats is not live, but its address is kept.
    """
    directory = PeerDirectory(RouterId('r1'), 'h1')
    directory.on_heartbeat(
        _heartbeat(totals=WindowTotals(known_addresses=('h1', 'h3'))), 0
    )
    assert len(directory.live(1)) == 1
    assert not directory.live(10)
    assert sorted(directory.addresses(10)) == ['h2', 'h3']
    assert directory.max_live_count(10) == 2


def test_lost_peers_share_the_limits_of_the_fleet_for_good() -> None:
    """Guards against a last router that uses a part of a limit for ever.

    A router that is cut off for seconds keeps to its part.
    """
    directory = PeerDirectory(RouterId('r1'), 'h1')
    for number in range(3):
        name = RouterId(f'r{number + 2}')
        directory.on_heartbeat(_heartbeat(router=name), 0)
    assert directory.max_live_count(20) == 4
    assert directory.is_isolated(20)
    assert directory.max_live_count(70) == 1
    assert not directory.is_isolated(70)


def test_a_peer_is_ignored_after_its_clock_went_back() -> None:
    """Guards against an incarnation that is remembered for ever."""
    directory = PeerDirectory(RouterId('r1'), 'h1')
    directory.on_heartbeat(_heartbeat(incarnation=9), 0)
    assert not directory.on_heartbeat(_heartbeat(incarnation=5), 59)
    assert directory.on_heartbeat(_heartbeat(incarnation=5), 61)


def test_routers_that_have_left_do_not_add_up() -> None:
    """Guards against limits of the fleet that are divided by too many routers.

    Routers are replaced one after the other and never live at the same time.
    """
    directory = PeerDirectory(RouterId('r1'), 'h1')
    for number in range(10):
        name = RouterId(f'r{number + 2}')
        for seconds in range(5):
            directory.on_heartbeat(
                _heartbeat(sequence=seconds, router=name),
                number * 10 + seconds / 2,
            )
    assert directory.max_live_count(92) == 2


def test_isolated_router_advertises_its_last_live_peers() -> None:
    """Guards against a partitioned router that attracts all callers.

    It receives no heartbeats, so with live peers alone it would give its
    callers no address but its own.
    """
    directory = PeerDirectory(RouterId('r1'), 'h1')
    directory.on_heartbeat(_heartbeat(), 0)
    directory.on_heartbeat(_heartbeat(router=RouterId('r3')), 5)
    assert [one.router for one in directory.advertised(6)] == ['r3']
    assert [one.router for one in directory.advertised(10)] == ['r2', 'r3']
    assert not directory.advertised(60)


@pytest.mark.parametrize('heard_seconds', [0.0, 3.0])
def test_a_router_that_reaches_the_store_names_no_ended_peers(
    heard_seconds: float,
) -> None:
    """Guards against addresses of routers that ended more than 7 s ago.

    All other routers end at once, right after their last heartbeat, and the
    router still reaches the store. For a moment it names them, as heartbeats
    may be lost.
    """
    directory = PeerDirectory(RouterId('r1'), 'h1')
    directory.on_heartbeat(_heartbeat(), 0)
    directory.on_heartbeat(_heartbeat(sequence=2), heard_seconds)
    for elapsed_seconds, count in ((1, 1), (4, 1), (6.9, 0), (20, 0)):
        now_seconds = heard_seconds + elapsed_seconds
        peers = directory.advertised(now_seconds, is_source_reached=True)
        assert len(peers) == count
    assert directory.advertised(heard_seconds + 20)


def test_heartbeats_are_less_frequent_with_many_peers() -> None:
    """Guards against heartbeat traffic that is quadratic in the routers.

    Heartbeats may take 2.8 % of a core; one takes 0.13 ms with 33 routers.
    """
    assert heartbeat_interval_seconds(3) == pytest.approx(0.1)
    for peers_count in (32, 63, 369):
        interval_seconds = heartbeat_interval_seconds(peers_count)
        assert peers_count / interval_seconds * 0.00013 < 0.028


def test_retry_has_its_age_at_every_router() -> None:
    """Guards against retries that count as new requests at another router.

    A rejected caller may retry at any router, where its request would wait as
    long as a new one. So routers report their rejections to each other.
    """
    local, peer = RejectedRequests(), RejectedRequests()
    request = Fingerprint('f')
    local.on_rejected(request, 10.0)
    for name, age_seconds in local.take_unreported(10.1):
        peer.on_report(Fingerprint(name), age_seconds, 50.0)
    assert peer.age_seconds(request, 50.4) == pytest.approx(0.5)
    assert local.take_unreported(10.2) == ()
    assert peer.age_seconds(request, 60) == 0
