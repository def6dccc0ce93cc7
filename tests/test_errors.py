"""The table of error specs."""

from dotterelhatch.errors import ERROR_SPECS, DotterelhatchError, ErrorKind


def test_every_kind_has_a_spec() -> None:
    """Guards against an error kind without a status and an exit code.

    An error of that kind would raise a KeyError when it is reported.
    """
    assert set(ERROR_SPECS) == set(ErrorKind)


def test_retry_after_override() -> None:
    """Guards against ignoring the retry delay of an individual error.

    A queue that knows the expected wait sets a delay of its own, which the
    default of the kind must not replace.
    """
    error = DotterelhatchError(
        ErrorKind.QUEUE_FULL, 'queue is full', retry_after_seconds=9
    )
    assert error.retry_after_seconds == 9
