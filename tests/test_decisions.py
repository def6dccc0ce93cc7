"""Log lines: bounded, and never in the way."""

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
    """Guards against a full pipe that stops all requests."""
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
    # A line that was taken in part is completed before the next one.
    assert {len(line) for line in content.splitlines()} == {1000}
    os.close(reading)
    handler.emit(_record())
    handler.emit(_record())
    os.close(writing)


def test_served_requests_do_not_push_out_refused_ones() -> None:
    """Guards against a log without the requests that people ask about."""
    now = [0.0]
    budget = LogRateFilter(lambda: now[0])
    served = sum(budget.filter(_record()) for _ in range(500))
    refused = sum(budget.filter(_record(Decision.REFUSED)) for _ in range(100))
    assert served < 100
    assert refused == 100
    now[0] = 1.5
    record = _record()
    assert budget.filter(record)
    assert record.omitted_count == 500 - served  # type: ignore[attr-defined]


def test_messages_with_ids_are_bounded_too() -> None:
    """Guards against a library that writes a line of its own per request."""
    budget = LogRateFilter(lambda: 0.0)
    passed = sum(
        budget.filter(
            logging.LogRecord('curio', 30, '', 0, f'task {one}', (), None)
        )
        for one in range(500)
    )
    assert passed < 100


def test_lines_are_json_with_the_facts_beside_the_event() -> None:
    """Guards against facts that a log search can't reach."""
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
