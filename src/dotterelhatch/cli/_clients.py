"""Access of the command line program to the platform and the routers.

The modules are imported on use, so that commands without a network, such as
``config check`` and the help texts, start quickly.
"""

import importlib
import json
import os
import time
from collections.abc import Coroutine, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar

import curio

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.backing.interfaces import TableService
from dotterelhatch.settings import RouterSettings

__all__ = (
    'fetch',
    'fetch_all',
    'fetch_json',
    'now_seconds',
    'open_tables',
    'run',
    'run_router',
    'sleep',
)

_Result = TypeVar('_Result')
_TIMEOUT_SECONDS = 5.0
_FAILED_STATUS = 400


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end."""
    outcome: _Result = curio.run(coroutine)
    return outcome


def run_router(settings: RouterSettings) -> int:
    """Run a router until it stops and return its exit code."""
    # grpc reads this when it is imported, and writes informational lines to
    # standard error by default when a peer stops.
    os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')
    daemon = importlib.import_module('dotterelhatch.daemon')
    return int(daemon.run_router(settings))


def open_tables(url: str) -> AbstractAsyncContextManager[TableService]:
    """Return the table service at a URL, closed by its context."""
    module = importlib.import_module('dotterelhatch.backing.http')
    tables: AbstractAsyncContextManager[TableService]
    tables = module.HttpTableService(url, _TIMEOUT_SECONDS)
    return tables


async def fetch(address: str, method: str, path: str) -> tuple[int, bytes]:
    """Return status and body of a request to an operations address.

    :raises ConnectionError: when there is no complete answer.
    """
    module = importlib.import_module('dotterelhatch.net.http')
    try:
        response = await module.fetch(
            address, method, path, timeout_seconds=_TIMEOUT_SECONDS
        )
    except module.HttpError as error:
        raise ConnectionError(str(error)) from error
    return response.status, response.body


async def sleep(seconds: float) -> None:
    """Wait."""
    await curio.sleep(seconds)


def now_seconds() -> float:
    """Return the seconds since the epoch."""
    return time.time()


async def fetch_json(address: str, method: str, path: str) -> dict[str, Any]:
    """Return the JSON object that a router answers with.

    :raises DotterelhatchError: the error that the router answers with, or
        NOT_READY when there is no usable answer.
    """
    try:
        status, body = await fetch(address, method, path)
    except OSError as error:
        raise _unusable(address, str(error)) from error
    content = _decode_object(body)
    if status < _FAILED_STATUS and content is not None:
        return content
    raise _problem(address, content or {}) or _unusable(
        address, f'status {status} with {body[:80]!r}'
    )


async def fetch_all(
    addresses: Sequence[str], path: str
) -> dict[str, dict[str, Any] | DotterelhatchError]:
    """Return the answer or the error of each router, asked together."""
    tasks = [
        (address, await curio.spawn(_fetch_or_error, address, path))
        for address in dict.fromkeys(addresses)
    ]
    return {address: await task.join() for address, task in tasks}


async def _fetch_or_error(
    address: str, path: str
) -> dict[str, Any] | DotterelhatchError:
    try:
        return await fetch_json(address, 'GET', path)
    except DotterelhatchError as error:
        return error


def _decode_object(body: bytes) -> dict[str, Any] | None:
    try:
        content = json.loads(body or b'{}')
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def _problem(
    address: str, content: dict[str, Any]
) -> DotterelhatchError | None:
    """Return the error of a problem document, None when it is none."""
    try:
        kind = ErrorKind(content.get('code'))
    except ValueError:
        return None
    return DotterelhatchError(kind, f'{address}: {content.get("detail")}')


def _unusable(address: str, reason: str) -> DotterelhatchError:
    return DotterelhatchError(
        ErrorKind.NOT_READY, f'no answer from {address}: {reason}'
    )
