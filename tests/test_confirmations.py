"""What a router confirms after a time in which it did not run."""

import pytest

from dotterelhatch.core.confirmations import DocumentConfirmations
from dotterelhatch.core.documents import DocumentPoint
from dotterelhatch.gateway.suspension import SuspensionDetector

OWN = {'op': 7, 'servers': 30}


def points(versions: dict[str, int]) -> dict[str, DocumentPoint]:
    """Return the points of documents in an era."""
    return {
        name: DocumentPoint(era=1, version=version)
        for name, version in versions.items()
    }


def resumed() -> DocumentConfirmations:
    """Return confirmations of a router that runs again since 10 s."""
    confirmations = DocumentConfirmations()
    confirmations.on_resumed(OWN, 10)
    return confirmations


def test_requests_wait_until_all_documents_are_confirmed() -> None:
    """Guards against a key or a target that is used after it was taken away."""
    confirmations = resumed()
    assert confirmations.wait_seconds(10) > 0
    confirmations.on_source_response('op', 10.1)
    assert confirmations.needs('servers')
    assert confirmations.wait_seconds(10.1) > 0
    confirmations.on_source_response('servers', 10.1)
    assert confirmations.wait_seconds(10.1) == 0


def test_a_response_to_an_earlier_call_confirms_nothing() -> None:
    """Guards against a response that waited in the socket all the while."""
    confirmations = resumed()
    for document in OWN:
        confirmations.on_source_response(document, 9.9)
    assert not confirmations.is_complete


@pytest.mark.parametrize(
    ('versions', 'is_complete'),
    [
        ({'op': 7, 'servers': 30}, True),
        ({'op': 6, 'servers': 30}, True),
        ({'op': 8, 'servers': 30}, False),
        ({'op': 7}, False),
        ({}, False),
    ],
)
def test_a_peer_confirms_what_it_has_in_no_newer_version(
    versions: dict[str, int], is_complete: bool
) -> None:
    """Guards against a wait for the source while a peer knows the answer."""
    confirmations = resumed()
    confirmations.on_peer(points(versions), points(OWN))
    assert confirmations.is_complete is is_complete


def test_requests_are_served_during_an_outage_of_the_source() -> None:
    """Guards against a fleet that stays silent while its store is down."""
    confirmations = resumed()
    assert confirmations.wait_seconds(11.5) == 0
    assert not confirmations.is_complete


@pytest.mark.parametrize(
    ('gap_seconds', 'gaps'),
    [(0.05, []), (0.6, []), (1.5, [1.5]), (30.0, [30.0])],
)
def test_a_suspension_is_noticed_at_the_first_wake_up(
    gap_seconds: float, gaps: list[float]
) -> None:
    """Guards against a task that runs before the suspension is known.

    An error of one subscriber keeps neither the others nor the event loop
    from going on.
    """
    now_seconds = 100.0
    detector = SuspensionDetector(lambda: now_seconds)
    noticed: list[float] = []

    def fail(_gap: float) -> None:
        raise RuntimeError('unforeseen')

    detector.subscribe(fail)
    detector.subscribe(noticed.append)
    detector.on_awake()
    now_seconds += gap_seconds
    detector.on_awake()
    detector.on_awake()
    assert noticed == gaps
