"""Incremental parser of server-sent events that preserves the raw bytes."""

import re
from dataclasses import dataclass
from typing import Final

__all__ = ('EventSplitter', 'EventTooLargeError', 'ServerEvent')

_LINE_END: Final = re.compile(rb'\r\n|\n|\r')
_CR: Final = b'\r'
_BYTE_ORDER_MARK: Final = b'\xef\xbb\xbf'
_MAX_EVENT_BYTES: Final = 1_048_576


class EventTooLargeError(ValueError):
    """An incomplete event exceeds the size limit."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One event of a stream.

    :param raw: the bytes of the event, including the blank line at its end.
    :param data: the data fields joined by line feeds, empty without any.
    :param event_id: its id, in Latin-1 as in headers; None without one.
    :param event_type: its type, empty without one.
    :param is_comment: whether all its lines are comments.
    """

    raw: bytes
    data: str
    event_id: str | None = None
    event_type: str = ''
    is_comment: bool = False


class EventSplitter:
    """Splits a byte stream into events, independent of its chunk boundaries.

    The raw bytes of all events followed by the pending bytes equal the input.
    Blank lines before an event belong to that event.

    :param max_event_bytes: limit of the buffer for an incomplete event.
    """

    def __init__(self, max_event_bytes: int = _MAX_EVENT_BYTES) -> None:
        """Start at the beginning of a stream."""
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self._line_start = 0
        self._scan_start = 0
        self._at_stream_start = True
        self._has_content = False
        self._has_fields = False
        self._ended_with_lone_cr = False
        self._data_lines: list[bytes] = []
        self._event_id: str | None = None
        self._event_type = ''

    @property
    def pending(self) -> bytes:
        """Return the bytes of the event that is not complete yet."""
        return bytes(self._buffer)

    @property
    def pending_bytes(self) -> int:
        """Return the length of the event that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add bytes and return the events that they complete.

        :raises EventTooLargeError: when an incomplete event exceeds the limit.
        """
        self._buffer += data
        events: list[ServerEvent] = []
        while True:
            bounds = self._find_line_end()
            if bounds is None:
                break
            event = self._process_line(*bounds)
            if event is not None:
                events.append(event)
        if len(self._buffer) > self._max_event_bytes:
            raise EventTooLargeError(
                f'server-sent event exceeds {self._max_event_bytes} bytes'
            )
        return events

    def _find_line_end(self) -> tuple[int, int] | None:
        match = _LINE_END.search(self._buffer, self._scan_start)
        if match is None:
            self._scan_start = len(self._buffer)
            return None
        start, stop = match.span()
        if match.group()[:1] != _CR:
            return start, stop
        # If the last line ended with a CR alone, the stream uses CR as its line
        # end and the blank line ends here. Otherwise a CR at the end of the
        # buffer may be followed by an LF in the next chunk.
        if self._ended_with_lone_cr and start == self._line_start:
            return start, start + 1
        if stop == len(self._buffer) and stop == start + 1:
            self._scan_start = start
            return None
        return start, stop

    def _process_line(self, start: int, stop: int) -> ServerEvent | None:
        line = bytes(self._buffer[self._line_start : start])
        self._ended_with_lone_cr = self._buffer[start:stop] == _CR
        self._line_start = stop
        self._scan_start = stop
        if self._at_stream_start:
            self._at_stream_start = False
            line = line.removeprefix(_BYTE_ORDER_MARK)
        if line:
            self._add_field(line)
            return None
        return self._finish_event() if self._has_content else None

    def _add_field(self, line: bytes) -> None:
        self._has_content = True
        field, _, text = line.partition(b':')
        if not field:
            return
        self._has_fields = True
        text = text.removeprefix(b' ')
        if field == b'data':
            self._data_lines.append(text)
        elif field == b'id':
            self._event_id = text.decode('latin-1')
        elif field == b'event':
            self._event_type = text.decode('utf-8', 'replace')

    def _finish_event(self) -> ServerEvent:
        stop = self._line_start
        event = ServerEvent(
            raw=bytes(self._buffer[:stop]),
            data=b'\n'.join(self._data_lines).decode('utf-8', 'replace'),
            event_id=self._event_id,
            event_type=self._event_type,
            is_comment=not self._has_fields,
        )
        del self._buffer[:stop]
        self._line_start = 0
        self._scan_start = 0
        self._has_content = False
        self._has_fields = False
        self._ended_with_lone_cr = False
        self._data_lines.clear()
        self._event_id = None
        self._event_type = ''
        return event
