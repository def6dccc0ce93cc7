"""Platform services over HTTP/1.1 with conditional requests."""

from collections.abc import Sequence
from types import TracebackType
from typing import Final, NoReturn, Self
from urllib.parse import quote, urlencode

from pydantic import ValidationError

from dotterelhatch.backing._client import (
    Client,
    Headers,
    NotSentError,
    Response,
    ResponseLostError,
)
from dotterelhatch.backing.interfaces import (
    HostEntry,
    PlatformError,
    RateLimited,
    Row,
    StoreUnavailable,
    WeightsInfo,
    WriteConflict,
    WriteOutcomeUnknown,
)
from dotterelhatch.backing.records import (
    HOST_LIST_ADAPTER,
    WEIGHTS_ADAPTER,
    ScanPage,
)

__all__ = (
    'HttpHostList',
    'HttpObjectStore',
    'HttpPlatformService',
    'HttpTableService',
    'HttpWeightStore',
)

_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_PRECONDITION_FAILED: Final = 412
_TOO_MANY_REQUESTS: Final = 429
_SERVICE_UNAVAILABLE: Final = 503


class HttpPlatformService:
    """Base class; owns the connections to one platform service."""

    def __init__(self, base_url: str, timeout_seconds: float) -> None:
        """Create the client; connections are opened on demand.

        :param base_url: ``http://ip:port``.
        :param timeout_seconds: limit for one call.
        """
        self._client = Client(base_url, timeout_seconds)

    async def __aenter__(self) -> Self:
        """Return the service; connections are opened on demand."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _read(self, path: str) -> Response:
        try:
            response = await self._client.request('GET', path)
        except (NotSentError, ResponseLostError) as error:
            raise StoreUnavailable(str(error)) from error
        if _is_success(response) or response.status in {
            _NOT_FOUND,
            _TOO_MANY_REQUESTS,
        }:
            return response
        raise StoreUnavailable(
            f'the platform service responded with status {response.status}'
        )

    async def _write(
        self, method: str, path: str, headers: Headers, body: bytes = b''
    ) -> Response:
        try:
            response = await self._client.request(method, path, headers, body)
        except NotSentError as not_sent:
            raise StoreUnavailable(str(not_sent)) from not_sent
        except ResponseLostError as lost:
            raise WriteOutcomeUnknown(str(lost)) from lost
        if _is_success(response):
            return response
        if response.status in {_CONFLICT, _PRECONDITION_FAILED}:
            return response
        _raise_write_error(response)


class HttpTableService(HttpPlatformService):
    """Table service with rows at ``/tables/<table>/<key>``.

    The ETag header holds the revision. Writes and deletes carry ``If-Match``,
    writes of new rows ``If-None-Match: *``.
    """

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row or None."""
        response = await self._read(_row_path(table, key))
        _raise_if_rate_limited(response)
        if response.status == _NOT_FOUND:
            return None
        row = _parse_row(key, response)
        if row is None:
            raise StoreUnavailable('the response has no valid ETag header')
        return row

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write a row if it has the expected revision (0: no row)."""
        response = await self._write(
            'PUT',
            _row_path(table, key),
            _condition_headers(expected_revision),
            content,
        )
        _raise_if_conflict(key, response)
        revision = _parse_revision(response)
        if revision is None:
            raise WriteOutcomeUnknown('the response has no valid ETag header')
        return Row(key, content, revision)

    async def delete(
        self, table: str, key: str, expected_revision: int
    ) -> None:
        """Delete a row if it has the expected revision."""
        response = await self._write(
            'DELETE',
            _row_path(table, key),
            _condition_headers(expected_revision),
        )
        _raise_if_conflict(key, response)

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit_count: int | None = None,
    ) -> Sequence[Row]:
        """Return the rows whose key starts with a prefix, in key order."""
        query = {'prefix': prefix, 'after': after}
        if limit_count is not None:
            query['limit'] = str(limit_count)
        name = quote(table, safe='')
        response = await self._read(f'/tables/{name}?{urlencode(query)}')
        _raise_if_rate_limited(response)
        if response.status == _NOT_FOUND:
            return ()
        try:
            page = ScanPage.model_validate_json(response.body)
        except ValidationError as error:
            raise StoreUnavailable('the response body is malformed') from error
        return [record.to_row() for record in page.rows]


class HttpObjectStore(HttpPlatformService):
    """Object store with objects at ``/objects/<name>``."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing the same bytes again has no effect."""
        try:
            response = await self._write('PUT', _object_path(name), (), content)
        except WriteOutcomeUnknown as error:
            raise StoreUnavailable(str(error)) from error
        if not _is_success(response):
            raise PlatformError(
                f'object {name} already exists with different content'
            )

    async def get(self, name: str) -> bytes | None:
        """Return an object or None."""
        response = await self._read(_object_path(name))
        _raise_if_rate_limited(response)
        return None if response.status == _NOT_FOUND else response.body


class HttpHostList(HttpPlatformService):
    """Host list, read as a JSON array from ``/hosts``."""

    async def read_hosts(self) -> Sequence[HostEntry]:
        """Return the listed hosts, which may be some seconds out of date."""
        response = await self._read('/hosts')
        _raise_if_rate_limited(response)
        try:
            return HOST_LIST_ADAPTER.validate_json(response.body)
        except ValidationError as error:
            raise StoreUnavailable('the response body is malformed') from error


class HttpWeightStore(HttpPlatformService):
    """Weight store with descriptions at ``/weights/<model>/<version>``."""

    async def describe(self, model: str, version: str) -> WeightsInfo | None:
        """Return the description or None."""
        path = '/'.join(quote(part, safe='') for part in (model, version))
        response = await self._read(f'/weights/{path}')
        if response.status == _TOO_MANY_REQUESTS:
            raise RateLimited(_retry_after_seconds(response))
        if response.status == _NOT_FOUND:
            return None
        try:
            return WEIGHTS_ADAPTER.validate_json(response.body)
        except ValidationError as error:
            raise StoreUnavailable('the response body is malformed') from error


def _is_success(response: Response) -> bool:
    return 200 <= response.status < 300


def _raise_write_error(response: Response) -> NoReturn:
    detail = f'the platform service responded with status {response.status}'
    # The platform protocol guarantees that a call with status 503 or 4xx had
    # no effect. After any other status the write may have taken effect.
    if response.status == _SERVICE_UNAVAILABLE or 400 <= response.status < 500:
        raise StoreUnavailable(detail)
    raise WriteOutcomeUnknown(detail)


def _raise_if_rate_limited(response: Response) -> None:
    if response.status == _TOO_MANY_REQUESTS:
        raise StoreUnavailable(
            'the platform service rejected the call: rate limit reached'
        )


def _raise_if_conflict(key: str, response: Response) -> None:
    if response.status in {_CONFLICT, _PRECONDITION_FAILED}:
        raise WriteConflict(_parse_row(key, response))


def _retry_after_seconds(response: Response) -> float:
    try:
        return float(response.headers.get('retry-after', '1'))
    except ValueError:
        return 1


def _row_path(table: str, key: str) -> str:
    return f'/tables/{quote(table, safe="")}/{quote(key, safe="")}'


def _object_path(name: str) -> str:
    return f'/objects/{quote(name, safe="")}'


def _condition_headers(expected_revision: int) -> Headers:
    if expected_revision == 0:
        return (('If-None-Match', '*'),)
    return (('If-Match', f'"{expected_revision}"'),)


def _parse_revision(response: Response) -> int | None:
    text = response.headers.get('etag', '').strip('"')
    return int(text) if text.isdecimal() else None


def _parse_row(key: str, response: Response) -> Row | None:
    revision = _parse_revision(response)
    return None if revision is None else Row(key, response.body, revision)
