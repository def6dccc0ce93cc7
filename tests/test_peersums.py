"""Tests of the sums of what peers report."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.ids import RouterId, TargetId

LIFETIME_SECONDS = 2.0
ZERO = TargetLoad()

_COUNTS = st.dictionaries(
    st.sampled_from([TargetId(f'm{index}') for index in range(4)]),
    st.builds(TargetLoad, st.integers(0, 3), st.integers(0, 3)),
    max_size=4,
)
_REPORTS = st.lists(
    st.tuples(
        st.sampled_from([RouterId(f'r{index}') for index in range(4)]),
        _COUNTS,
        st.sampled_from([0.0, 0.1, 0.7, 2.5]),
    ),
    max_size=30,
)


@given(_REPORTS)
def test_sums_are_those_of_the_latest_valid_reports(reports):
    """Sums that are kept up to date equal sums that are computed anew.

    A count that stays in the sums after its report is gone would make a
    target look busy for good.
    """
    sums = PeerSums[TargetId, TargetLoad](ZERO)
    latest = {}
    now_seconds = 0.0
    for router, counts, pause_seconds in reports:
        now_seconds += pause_seconds
        sums.on_report(router, counts, now_seconds)
        latest[router] = (now_seconds, counts)
        expected = Counter()
        unread = Counter()
        for received_seconds, reported in latest.values():
            if now_seconds - received_seconds <= LIFETIME_SECONDS:
                for target, load in reported.items():
                    expected[target] += load.requests_count
                    unread[target] += load.unread_tokens
        assert dict(sums.totals) == {
            target: TargetLoad(expected[target], unread[target])
            for target in expected.keys() | unread.keys()
            if expected[target] or unread[target]
        }


def test_cost_of_a_report_does_not_grow_with_the_peers():
    """A report is applied without a look at those of the other peers.

    With 370 peers, each of 200 reports a second would otherwise go through all
    of them. The counts are compared with those of the report before only.
    """
    compared = 0

    class Count:
        def __init__(self, number):
            self.number = number

        def plus(self, other):
            return Count(self.number + other.number)

        def minus(self, other):
            return Count(self.number - other.number)

        def __eq__(self, other):
            nonlocal compared
            compared += 1
            return self.number == other.number

    sums = PeerSums(Count(0))
    for index in range(370):
        sums.on_report(RouterId(f'r{index}'), {'m0': Count(1)}, 0)
    compared = 0
    sums.on_report(RouterId('r7'), {'m0': Count(2)}, 0.1)
    assert compared <= 2
    assert sums.get('m0').number == 371


@pytest.mark.parametrize('gap_seconds', [2.1, 60])
def test_reports_expire_in_the_order_of_their_last_arrival(gap_seconds):
    """A peer that reports again stays, one that has stopped is dropped."""
    sums = PeerSums[TargetId, TargetLoad](ZERO)
    target = TargetId('m0')
    sums.on_report(RouterId('r0'), {target: TargetLoad(1)}, 0)
    sums.on_report(RouterId('r1'), {target: TargetLoad(10)}, 0.1)
    sums.on_report(RouterId('r0'), {target: TargetLoad(2)}, gap_seconds)
    assert sums.get(target) == TargetLoad(2)
