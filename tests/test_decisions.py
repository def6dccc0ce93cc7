"""Logging of decisions: non-blocking, rate-limited, and as JSON."""

import json
import logging
import os

from dotterelhatch.gateway.decisions import (
    Decision,
    LogRateFilter,
    NonBlockingHandler,
)


def _record(decision: Decision = Decision.SERVED) -> logging.LogRecord:
    record = logging.LogRecord(
        'd', logging.INFO, '', 0, decision.value, (), None
    )
    record.decision = decision
    return record


def test_a_reader_that_stopped_does_not_block_the_process() -> None:
    """Guards against a full pipe that blocks the event loop.

    The reader of the log has stopped, and the kernel's buffer fills up.
    """
    reading, writing = os.pipe()
    handler = NonBlockingHandler(writing)
    handler.setFormatter(logging.Formatter('x' * 994 + '%(message)s'))
    for _ in range(1000):
        handler.emit(_record())
    assert handler.dropped_count > 800
    dropped_count = handler.dropped_count
    content = os.read(reading, 1_000_000)
    handler.emit(_record())
    handler.emit(_record())
    content += os.read(reading, 1_000_000)
    assert handler.dropped_count == dropped_count
    # After a partial write the line is completed before the next one.
    assert {len(line) for line in content.splitlines()} == {1000}
    os.close(reading)
    handler.emit(_record())
    handler.emit(_record())
    os.close(writing)


def test_lines_of_served_requests_do_not_displace_rejections() -> None:
    """Guards against a log without the rejections that operators look for.

    Served requests are far more frequent and would use up a common limit.
    """
    now = [0.0]
    rate_filter = LogRateFilter(lambda: now[0])
    served = sum(rate_filter.filter(_record()) for _ in range(500))
    rejected = sum(
        rate_filter.filter(_record(Decision.REFUSED)) for _ in range(100)
    )
    assert served < 100
    assert rejected == 100
    now[0] = 1.5
    record = _record()
    assert rate_filter.filter(record)
    assert record.omitted_count == 500 - served  # type: ignore[attr-defined]


def test_messages_with_ids_are_bounded_too() -> None:
    """Guards against a flood of lines by a library that logs each request.

    Its messages contain IDs and all differ, so they can't be limited by text.
    """
    rate_filter = LogRateFilter(lambda: 0.0)
    passed = sum(
        rate_filter.filter(
            logging.LogRecord('curio', 30, '', 0, f'task {index}', (), None)
        )
        for index in range(500)
    )
    assert passed < 100


def test_facts_are_top_level_fields_of_the_json_line() -> None:
    """Guards against facts in a nested object, which log searches miss."""
    reading, writing = os.pipe()
    from dotterelhatch.gateway.decisions import _DecisionFormatter

    handler = NonBlockingHandler(writing)
    handler.setFormatter(_DecisionFormatter(['message']))
    record = _record()
    record.facts = {'request_id': 'r1', 'wait_ms': 3}
    handler.emit(record)
    line = json.loads(os.read(reading, 10_000))
    assert line['request_id'] == 'r1'
    assert line['wait_ms'] == 3
    os.close(reading)
    os.close(writing)
