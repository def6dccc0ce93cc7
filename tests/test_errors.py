"""The table of answers."""

from dotterelhatch.errors import ERROR_SPECS, DotterelhatchError, ErrorKind


def test_every_kind_has_an_answer() -> None:
    """Guards against a kind without a status."""
    assert set(ERROR_SPECS) == set(ErrorKind)


def test_retry_after_override() -> None:
    """Guards against losing the waiting time of a single refusal."""
    error = DotterelhatchError(
        ErrorKind.QUEUE_FULL, 'queue is full', retry_after_seconds=9
    )
    assert error.retry_after_seconds == 9
