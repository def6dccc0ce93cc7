"""Logging of the router process: one handler with filters and a formatter."""

import contextlib
import logging
import re
import sys
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from contextvars import ContextVar
from dataclasses import dataclass
from logging.config import dictConfig
from typing import Any, Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from dotterelhatch.ids import RequestId
from dotterelhatch.settings import RouterSettings

__all__ = (
    'RateLimitFilter',
    'RedactFilter',
    'RequestIdFilter',
    'bind_request_id',
    'configure_logging',
    'current_request_id',
)

Clock = Callable[[], float]

_REDACTED: Final = '[redacted]'
_REQUEST_ID: ContextVar[RequestId | None] = ContextVar(
    'request_id', default=None
)
_STANDARD_ATTRIBUTES: Final = frozenset(
    logging.LogRecord('', 0, '', 0, '', (), None).__dict__
)
_SECRET_NAME_PATTERN: Final = '(?:proxy-)?authorization|(?:x-)?api[-_]?key'
# A secret after its name: in a header line, an assignment, a mapping or a pair
# of str or bytes. It ends at a quote, a separator or the end of the line.
_NAMED_SECRET: Final = re.compile(
    rf'((?:{_SECRET_NAME_PATTERN})(?:["\']?\s*[:=]|["\']\s*,)\s*(?:b?["\'])?)'
    r'[^"\',;\r\n]+',
    re.IGNORECASE,
)
_BEARER: Final = re.compile(r'(\bbearer\s+)[^\s"\',;]+', re.IGNORECASE)
_SECRET_FIELD: Final = re.compile(_SECRET_NAME_PATTERN, re.IGNORECASE)


def current_request_id() -> RequestId | None:
    """Return the id of the request that the current task handles."""
    return _REQUEST_ID.get()


@contextlib.contextmanager
def bind_request_id(request_id: RequestId) -> Iterator[None]:
    """Attach a request id to all log records of the current task.

    The curio kernel must run with ``taskcls=curio.task.ContextTask``. With
    the default task class all tasks share one context, and records would
    carry the id of another request.
    """
    token = _REQUEST_ID.set(request_id)
    try:
        yield
    finally:
        _REQUEST_ID.reset(token)


class RequestIdFilter(logging.Filter):
    """Adds the request id of the current task to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set ``request_id`` unless the record already has one."""
        if not hasattr(record, 'request_id'):
            record.request_id = current_request_id()
        return True


_RecordKey = tuple[str, int, str]


@dataclass(slots=True)
class _Window:
    end_seconds: float
    passed_count: int = 0
    suppressed_count: int = 0


class RateLimitFilter(logging.Filter):
    """Limits repeated records and reports how many were suppressed.

    Records are repetitions if logger, level and message template are equal.
    Records of level ERROR and above are limited like the others, since a
    fault under load logs one per request.

    :param clock: monotonic clock, in seconds.
    :param burst_count: repetitions of a record that pass per interval.
    :param capacity_count: number of different records that are tracked; the
        least recently seen is evicted first.
    """

    def __init__(
        self,
        clock: Clock = time.monotonic,
        burst_count: int = 5,
        interval_seconds: float = 10.0,
        capacity_count: int = 1024,
    ) -> None:
        """Create a filter that has seen no records."""
        super().__init__()
        self._clock = clock
        self._burst_count = burst_count
        self._interval_seconds = interval_seconds
        self._capacity_count = capacity_count
        self._windows: OrderedDict[_RecordKey, _Window] = OrderedDict()
        # A handler runs its filters before it takes its own lock, and grpc
        # runs threads of its own.
        self._lock = threading.Lock()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record passes; set ``suppressed_count``."""
        if getattr(record, 'suppressed_count', 0):
            return True
        key = (record.name, record.levelno, str(record.msg))
        with self._lock:
            now_seconds = self._clock()
            window = self._windows.pop(key, None)
            if window is None or now_seconds >= window.end_seconds:
                if window and window.suppressed_count:
                    record.suppressed_count = window.suppressed_count
                window = _Window(now_seconds + self._interval_seconds)
            self._windows[key] = window
            if len(self._windows) > self._capacity_count:
                self._windows.popitem(last=False)
            return self._admit(window)

    def report_suppressed(self) -> None:
        """Log how many records were suppressed in expired intervals.

        Call it periodically. Otherwise the last suppressed records of a
        burst stay unreported until the same record occurs again.
        """
        for (name, level, message), window in self._pop_expired():
            logging.getLogger(name).log(
                level,
                'suppressed %d records: %s',
                window.suppressed_count,
                message,
                extra={'suppressed_count': window.suppressed_count},
            )

    def _admit(self, window: _Window) -> bool:
        if window.passed_count < self._burst_count:
            window.passed_count += 1
            return True
        window.suppressed_count += 1
        return False

    def _pop_expired(self) -> list[tuple[_RecordKey, _Window]]:
        with self._lock:
            now_seconds = self._clock()
            expired = [
                (key, window)
                for key, window in self._windows.items()
                if now_seconds >= window.end_seconds
            ]
            for key, _ in expired:
                self._windows.pop(key)
        return [pair for pair in expired if pair[1].suppressed_count]


class RedactFilter(logging.Filter):
    """Replaces secrets in log records: Authorization headers and API keys."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the message, the exception and the extra fields."""
        record.msg = _redact_text(_format_message(record))
        record.args = None
        if record.exc_info:
            # Formatters use exc_text when exc_info is None.
            record.exc_text = logging.Formatter().formatException(
                record.exc_info
            )
            record.exc_info = None
        if record.exc_text:
            record.exc_text = _redact_text(record.exc_text)
        for name in record.__dict__.keys() - _STANDARD_ATTRIBUTES:
            setattr(record, name, _redact_field(name, getattr(record, name)))
        return True


class _TextFormatter(logging.Formatter):
    """Formats plain text with the request id and the suppressed count."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Append the extra fields that are set."""
        parts = [super().formatMessage(record)]
        for name in ('request_id', 'suppressed_count'):
            if getattr(record, name, None):
                parts.append(f'{name}={getattr(record, name)}')
        return ' '.join(parts)


def configure_logging(
    settings: RouterSettings,
    clock: Clock = time.monotonic,
    stream: TextIO | None = None,
) -> RateLimitFilter:
    """Configure the root logger of the process.

    :param stream: where records are written, standard error by default.
    :returns: the rate limit filter; its ``report_suppressed`` must be called
        periodically.
    """
    rate_limit = RateLimitFilter(clock)
    dictConfig(
        {
            'version': 1,
            'disable_existing_loggers': False,
            'filters': {
                'request_id': {'()': RequestIdFilter},
                'rate_limit': {'()': lambda: rate_limit},
                'redact': {'()': RedactFilter},
            },
            'formatters': {
                'json': {'()': _json_formatter, 'settings': settings},
                'text': {
                    '()': _TextFormatter,
                    'fmt': '%(asctime)s %(levelname)s %(name)s %(message)s',
                },
            },
            'handlers': {
                'stream': {
                    'class': 'logging.StreamHandler',
                    'stream': stream or sys.stderr,
                    'formatter': settings.log_format,
                    # The rate limit compares message templates, so it comes
                    # before redaction, which formats the message.
                    'filters': ['request_id', 'rate_limit', 'redact'],
                },
            },
            'root': {'level': settings.log_level, 'handlers': ['stream']},
        }
    )
    return rate_limit


def _json_formatter(settings: RouterSettings) -> logging.Formatter:
    return JsonFormatter(
        ['levelname', 'name', 'message', 'request_id'],
        rename_fields={'levelname': 'level', 'name': 'logger'},
        static_fields={'router_id': settings.router_id},
        timestamp=True,
    )


def _format_message(record: logging.LogRecord) -> str:
    try:
        return record.getMessage()
    except (TypeError, ValueError, KeyError):
        # An exception in a filter propagates to the code that logs, whereas
        # the handler catches the exceptions of its formatter.
        return f'{record.msg} {record.args!r}'


def _redact_text(text: str) -> str:
    named = _NAMED_SECRET.sub(rf'\g<1>{_REDACTED}', text)
    return _BEARER.sub(rf'\g<1>{_REDACTED}', named)


def _redact_field(name: object, content: Any) -> Any:
    if _SECRET_FIELD.fullmatch(str(name)):
        return _REDACTED
    if isinstance(content, str):
        return _redact_text(content)
    if isinstance(content, bytes):
        return _redact_text(content.decode('latin-1'))
    if isinstance(content, Mapping):
        return {
            key: _redact_field(key, entry) for key, entry in content.items()
        }
    if isinstance(content, (list, tuple, set, frozenset)):
        return _redact_sequence(list(content))
    return content


def _redact_sequence(entries: list[Any]) -> list[Any]:
    # A pair may be a header: its name and its value.
    if len(entries) == 2 and isinstance(entries[0], (str, bytes)):
        name = _redact_field('', entries[0])
        return [name, _redact_field(name, entries[1])]
    return [_redact_field('', entry) for entry in entries]
