"""Tests of the logging filters and of their composition."""

import io
import json
import logging
from collections.abc import Iterator

import curio
import pytest
from curio.task import ContextTask

from dotterelhatch.ids import RequestId, RouterId
from dotterelhatch.logs import (
    RateLimitFilter,
    bind_request_id,
    configure_logging,
    current_request_id,
)
from dotterelhatch.settings import PlatformSettings, RouterSettings

LOGGER = logging.getLogger('dotterelhatch.test')
ADDRESS = '127.0.0.1:1'
URL = 'http://127.0.0.1:1'


class CapturedLog:
    """Output of the configured logging, with a clock set by the test."""

    def __init__(self, log_format: str) -> None:
        self.now_seconds = 0.0
        self.stream = io.StringIO()
        settings = RouterSettings(
            router_id=RouterId('r1'),
            failure_domain='konya',
            region='anadolu',
            caller_address=ADDRESS,
            peer_address=ADDRESS,
            operations_address=ADDRESS,
            platform=PlatformSettings(
                tables_url=URL, objects_url=URL, hosts_url=URL
            ),
            log_format=log_format,
        )
        self.rate_limit: RateLimitFilter = configure_logging(
            settings, lambda: self.now_seconds, self.stream
        )

    def records(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.lines()]

    def lines(self) -> list[str]:
        return self.stream.getvalue().splitlines()


@pytest.fixture(autouse=True)
def _restore_root_logger() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_tasks_keep_their_own_request_id() -> None:
    """Guards against records with the request id of another task.

    It happens if tasks share one context, as with curio's default task class.
    """

    async def read_request_ids(name: str) -> list[RequestId | None]:
        with bind_request_id(RequestId(name)):
            await curio.sleep(0)
            seen = [current_request_id()]
            try:
                await curio.sleep(60)
            except curio.TaskCancelled:
                seen.append(current_request_id())
        return [*seen, current_request_id()]

    async def main() -> list[list[RequestId | None]]:
        tasks = [
            await curio.spawn(read_request_ids, name) for name in ('a', 'b')
        ]
        await curio.sleep(0)
        await curio.sleep(0)
        for task in tasks:
            await task.cancel()
        return [task.result for task in tasks]

    expected = [['a', 'a', None], ['b', 'b', None]]
    assert curio.run(main, taskcls=ContextTask) == expected


def test_json_record_has_ids_and_extra_fields() -> None:
    """Guards against log lines without request id or extra fields.

    The formatter writes only the fields that it lists and the extra fields
    of the record; without the ids a line can't be matched to its request
    and router.
    """
    log = CapturedLog('json')
    with bind_request_id(RequestId('q1')):
        LOGGER.info('dispatched to %s', 't1', extra={'units': 3})
    [record] = log.records()
    assert record.pop('timestamp')
    assert record == {
        'level': 'INFO',
        'logger': 'dotterelhatch.test',
        'message': 'dispatched to t1',
        'request_id': 'q1',
        'router_id': 'r1',
        'units': 3,
    }


def test_repeated_records_are_limited_and_counted() -> None:
    """Guards against repeated records that flood the log under load.

    Also guards against suppressed records that are never reported: their
    count is added to the next record of the same kind, which may not come,
    so that the periodic report must log it.
    """
    log = CapturedLog('json')
    for number in range(12):
        LOGGER.warning('target %d failed', number)
    LOGGER.warning('another record')
    assert len(log.records()) == 6
    log.rate_limit.report_suppressed()
    log.now_seconds = 10
    LOGGER.warning('target %d failed', 12)
    assert log.records()[-1]['suppressed_count'] == 7
    for number in range(6):
        LOGGER.warning('target %d failed', number)
    log.now_seconds = 20
    log.rate_limit.report_suppressed()
    log.rate_limit.report_suppressed()
    last = log.records()[-1]
    assert last['suppressed_count'] == 2
    assert len(log.records()) == 12


@pytest.mark.parametrize('log_format', ['json', 'text'])
def test_secrets_are_redacted(log_format: str) -> None:
    """Guards against API keys of callers in the log.

    A key may occur in the message, its arguments, the extra fields or an
    exception.
    """
    log = CapturedLog(log_format)
    headers = [('Authorization', 'Bearer s3cret'), ('Accept', 's/html')]
    pair = (b'authorization', b'Basic s3cret')
    LOGGER.info('headers %s', headers)
    LOGGER.info('pair %s', pair)
    LOGGER.info('wrong %d', headers)
    LOGGER.info('line Authorization: Basic s3cret')
    LOGGER.info('api_key=s3cret, x-api-key="s3cret" Bearer s3cret')
    LOGGER.info(
        'extra',
        extra={
            'headers': {'X-Api-Key': 's3cret', 'a': [headers, pair]},
            'authorization': 's3cret',
        },
    )
    try:
        raise ValueError('Authorization: Bearer s3cret')
    except ValueError:
        LOGGER.exception('failed')
    text = log.stream.getvalue()
    assert 's3cret' not in text
    assert 's/html' in text
    assert 'ValueError' in text
    assert 'wrong' in text
