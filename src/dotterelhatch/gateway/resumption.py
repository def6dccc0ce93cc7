"""Position in a stream, and checks of what continues it at another target."""

from collections.abc import Sequence
from typing import Final

from dotterelhatch.net.httptypes import Headers, find_header
from dotterelhatch.net.sse import ServerEvent
from dotterelhatch.net.targets import (
    FailureReason,
    FailureStage,
    TargetFailure,
    TargetResponse,
)

__all__ = ('StreamResumption',)

_OK: Final = 200
_ERROR_EVENT: Final = 'error'
_FORMAT_HEADERS: Final = ('Content-Type', 'Content-Encoding')


class StreamResumption:
    """Where a stream goes on after its target has failed.

    A response continues the stream only if it consists of events after the
    last one. Anything else, such as the text of an error, must not reach the
    caller within the stream, nor may the stream end there. Comments, which may
    be such a text too, are left out.

    :param last_event_id: the event after which the stream goes on, None for
        its beginning.
    :param has_position: whether nothing but comments was sent after that
        event. Otherwise another target would send it once more.
    """

    def __init__(self, last_event_id: str | None) -> None:
        """Start before the first response."""
        self.last_event_id = last_event_id
        self.has_position = True
        self._is_continuation = False
        self._has_events = False
        self._format: tuple[str | None, ...] = ()

    def begin(self, response: TargetResponse, *, is_continuation: bool) -> None:
        """Start with the head of a response.

        :param is_continuation: whether a part of the stream has been sent.
        :raises TargetFailure: when the response can't continue the stream.
        """
        self._is_continuation = is_continuation
        self._has_events = False
        body_format = _body_format(response.headers)
        if not is_continuation:
            self._format = body_format
        elif response.status != _OK or body_format != self._format:
            raise _mismatch(
                f'status {response.status} with the format {body_format} '
                f'does not continue a stream with {self._format}'
            )

    def advance(self, events: Sequence[ServerEvent]) -> bytes:
        """Move on to the last of some events and return what to forward.

        :raises TargetFailure: when one of them does not continue the stream;
            the position is unchanged then.
        """
        if self._is_continuation:
            events = [event for event in events if not event.is_comment]
        position = self.last_event_id
        for event in events:
            if self._is_continuation and not _continues(event, position):
                raise _mismatch(
                    'the response has something else than an event after '
                    f'{position}'
                )
            position = event.event_id or position
            if not event.is_comment:
                self.has_position = bool(event.event_id)
        self.last_event_id = position
        self._has_events = self._has_events or bool(events)
        return b''.join(checked.raw for checked in events)

    def check_end(self, pending: bytes) -> None:
        """Check that the stream may end here.

        :param pending: bytes of an incomplete event.
        :raises TargetFailure: when the end of an error may be taken for it.
        """
        is_ended = self._has_events and not pending.strip()
        if self._is_continuation and not is_ended:
            raise TargetFailure(
                FailureStage.ANSWERING,
                FailureReason.TRUNCATED,
                'the response that continues a stream has no complete event '
                'at its end',
            )


def _body_format(headers: Headers) -> tuple[str | None, ...]:
    """Return what has to be the same in all responses of a stream."""
    texts = (find_header(headers, name) for name in _FORMAT_HEADERS)
    return tuple(
        text and text.partition(';')[0].strip().lower() for text in texts
    )


def _continues(event: ServerEvent, position: str | None) -> bool:
    if event.event_type == _ERROR_EVENT or not event.event_id:
        return False
    return position is None or _is_after(event.event_id, position)


def _is_after(event_id: str, position: str) -> bool:
    """Return whether an id may follow; ids are numbers as a rule."""
    if _is_number(position):
        return _is_number(event_id) and _order(event_id) > _order(position)
    return event_id != position


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _order(number: str) -> tuple[int, str]:
    """Return a sort key; a target may send more digits than int() accepts."""
    digits = number.lstrip('0')
    return len(digits), digits


def _mismatch(detail: str) -> TargetFailure:
    return TargetFailure(FailureStage.ANSWERING, FailureReason.MISMATCH, detail)
