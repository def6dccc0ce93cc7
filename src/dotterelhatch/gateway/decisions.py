"""One log line per decision, bounded in volume and never blocking."""

import enum
import logging
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from pythonjsonlogger.json import JsonFormatter

from dotterelhatch.gateway.settings import GatewaySettings

__all__ = (
    'Decision',
    'LogRateFilter',
    'NonBlockingHandler',
    'configure_gateway_logging',
    'log_decision',
)

_LOGGER: Final = logging.getLogger('dotterelhatch.decisions')
_SECOND: Final = 1.0
# Lines per second and kind. A line is about 400 bytes and takes 70 µs, one
# that is left out 20 µs.
_DEFAULT_BUDGET_COUNT: Final = 40
_DROPPED_REPORT_SECONDS: Final = 5.0


class Decision(enum.Enum):
    """What a line is about."""

    PLACED = 'placed'
    REFUSED = 'refused'
    ATTEMPT_FAILED = 'attempt_failed'
    RETRIED = 'retried'
    SERVED = 'served'
    FAILED = 'failed'
    CALLER_LEFT = 'caller_left'
    TABLE_CHANGED = 'table_changed'
    TARGET_CHANGED = 'target_changed'
    TARGET_SUSPECTED = 'target_suspected'
    PEER_CHANGED = 'peer_changed'
    CLOCK_GAP = 'clock_gap'
    DEPENDENCY_LOST = 'dependency_lost'
    DEPENDENCY_REGAINED = 'dependency_regained'
    STARTED = 'started'
    RELOADED = 'reloaded'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


# Served requests are the bulk and the least needed; refusals and failures are
# what people ask about.
_BUDGETS: Final[dict[object, int]] = {
    Decision.PLACED: 40,
    Decision.SERVED: 40,
    Decision.REFUSED: 120,
    Decision.FAILED: 120,
    Decision.ATTEMPT_FAILED: 120,
}


def log_decision(decision: Decision, **facts: Any) -> None:
    """Write one line with the facts that a decision was based on."""
    _LOGGER.info(decision.value, extra={'decision': decision, 'facts': facts})


@dataclass(slots=True)
class _Window:
    starts_seconds: float = 0
    passed_count: int = 0
    omitted_count: int = 0


class LogRateFilter(logging.Filter):
    """Bounds the lines of each kind per second and counts the rest.

    :param clock: monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with full budgets."""
        super().__init__()
        self._clock = clock
        self._windows: dict[object, _Window] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record passes; add the omitted count."""
        # Messages of libraries may contain ids, so they are no kinds.
        kind: object = getattr(record, 'decision', record.name)
        window = self._windows.setdefault(kind, _Window())
        now_seconds = self._clock()
        if now_seconds - window.starts_seconds >= _SECOND:
            if window.omitted_count:
                record.omitted_count = window.omitted_count
            self._windows[kind] = _Window(now_seconds, 1)
            return True
        if window.passed_count >= _BUDGETS.get(kind, _DEFAULT_BUDGET_COUNT):
            window.omitted_count += 1
            return False
        window.passed_count += 1
        return True


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor and drops those that it can't take.

    A line that was taken in part is completed before the next one, so that
    lines are never mixed.

    :param descriptor: of a pipe or file; made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._remaining = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        try:
            line = f'{self.format(record)}\n'.encode('utf-8', 'replace')
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self._remaining = self._write(self._remaining)
        if self._remaining:
            self.dropped_count += 1
            return
        self._remaining = self._write(line)

    def _write(self, content: bytes) -> bytes:
        """Return what the descriptor did not take."""
        if not content:
            return content
        try:
            return content[os.write(self._descriptor, content) :]
        except BlockingIOError:
            return content
        except OSError:
            # Nobody reads any more; the process goes on without a log.
            self.dropped_count += 1
            return b''


class _DecisionFormatter(JsonFormatter):
    """JSON with the facts of a decision beside the usual fields."""

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Move the facts up one level."""
        facts = log_data.pop('facts', None) or {}
        log_data.pop('decision', None)
        return {**log_data, **facts}


def configure_gateway_logging(settings: GatewaySettings) -> NonBlockingHandler:
    """Set up the root logger of a gateway process."""
    handler = NonBlockingHandler(sys.stdout.fileno())
    handler.addFilter(LogRateFilter())
    handler.setFormatter(
        _DecisionFormatter(
            ['levelname', 'message'],
            rename_fields={'levelname': 'level', 'message': 'event'},
            static_fields={'router': settings.router_id},
            timestamp=True,
        )
    )
    root = logging.getLogger()
    for former in tuple(root.handlers):
        root.removeHandler(former)
    root.addHandler(handler)
    root.setLevel(settings.log_level)
    return handler
