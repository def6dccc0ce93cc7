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
    outage = SourceOutage(began_seconds=10, unanswered_seconds=10)
    outage.on_call_failed(peer_answered_seconds)
    assert outage.are_others_answered is are_others_answered
    outage.on_call_failed(-math.inf)
    assert outage.are_others_answered is are_others_answered


@pytest.mark.parametrize(
    ('unanswered_seconds', 'regained_seconds', 'can_have_expired'),
    [(10, 10.2, False), (10, 12.3, False), (10, 12.5, True), (6.3, 10.2, True)],
)
def test_entries_expire_only_in_an_outage_that_covers_their_renewals(
    unanswered_seconds: float, regained_seconds: float, can_have_expired: bool
) -> None:
    """Guards against a short outage that hides that a target has left.

    Entries are renewed every 1.2 s and expire after three intervals. The
    source may have been down since a call was made that was never answered.
    """
    outage = SourceOutage(10, unanswered_seconds)
    assert (
        outage.can_entries_have_expired(regained_seconds, renewal_seconds=1.2)
        is can_have_expired
    )


def test_no_entries_expire_while_others_are_answered() -> None:
    """Guards against targets that leave while one router is refused."""
    outage = SourceOutage(10, 10)
    outage.on_call_failed(peer_answered_seconds=12)
    assert not outage.can_entries_have_expired(19, renewal_seconds=1.2)
