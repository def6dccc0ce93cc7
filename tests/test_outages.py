"""Outages of a source that may be those of one router only."""

import math

import pytest

from dotterelhatch.core.outages import SourceOutage


@pytest.mark.parametrize(
    ('peer_answered_seconds', 'are_others_answered'),
    [
        (-math.inf, False),
        (9.9, False),
        # May have been sent before the outage and arrived late.
        (10.3, False),
        (10.6, True),
    ],
)
def test_a_response_to_a_peer_shows_that_others_are_answered(
    peer_answered_seconds: float, are_others_answered: bool
) -> None:
    """Guards against an outage of one router that is taken for one of all.

    A response that a peer got before the outage says nothing of it.
    """
    outage = SourceOutage(began_seconds=10)
    outage.on_call_failed(peer_answered_seconds)
    assert outage.are_others_answered is are_others_answered
    outage.on_call_failed(-math.inf)
    assert outage.are_others_answered is are_others_answered
