"""Clients of the platform and the routers for the commands.

Network modules are imported on first use, so that commands that need no
network, such as ``config check`` and ``--help``, start quickly.
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
_MIN_ERROR_STATUS = 400


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine until it completes."""
    outcome: _Result = curio.run(coroutine)
    return outcome


def run_router(settings: RouterSettings) -> int:
    """Run a router until it stops and return its exit code."""
    # grpc reads this variable when it is imported. By default it writes
    # informational lines to standard error when a peer stops.
    os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')
    daemon = importlib.import_module('dotterelhatch.daemon')
    return int(daemon.run_router(settings))


def open_tables(url: str) -> AbstractAsyncContextManager[TableService]:
    """Return a client of the table service, to be used as a context."""
    module = importlib.import_module('dotterelhatch.backing.http')
    tables: AbstractAsyncContextManager[TableService]
    tables = module.HttpTableService(url, _TIMEOUT_SECONDS)
    return tables


async def fetch(
    address: str, method: str, path: str, body: bytes = b''
) -> tuple[int, bytes]:
    """Send a request to an operations address; return status and body.

    :raises ConnectionError: when there is no complete response.
    """
    module = importlib.import_module('dotterelhatch.net.http')
    try:
        response = await module.fetch(
            address,
            method,
            path,
            body=body,
            timeout_seconds=_TIMEOUT_SECONDS,
        )
    except module.HttpError as error:
        raise ConnectionError(str(error)) from error
    return response.status, response.body


async def sleep(seconds: float) -> None:
    """Sleep; tests replace it to control the time."""
    await curio.sleep(seconds)


def now_seconds() -> float:
    """Return the time in seconds since the epoch."""
    return time.time()


async def fetch_json(
    address: str, method: str, path: str, body: bytes = b''
) -> dict[str, Any]:
    """Return the JSON object in the response of a router.

    :raises DotterelhatchError: the error that the router responds with, or
        NOT_READY when there is no usable response.
    """
    try:
        status, received = await fetch(address, method, path, body)
    except OSError as error:
        raise _no_response_error(address, str(error)) from error
    content = _decode_object(received)
    if status < _MIN_ERROR_STATUS and content is not None:
        return content
    raise _decode_problem(address, content or {}) or _no_response_error(
        address, f'status {status} with {received[:80]!r}'
    )


async def fetch_all(
    addresses: Sequence[str], path: str
) -> dict[str, dict[str, Any] | DotterelhatchError]:
    """Fetch a path from all routers concurrently.

    :returns: by address, the JSON object or the error of the router.
    """
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
    except (ValueError, RecursionError):
        return None
    return content if isinstance(content, dict) else None


def _decode_problem(
    address: str, content: dict[str, Any]
) -> DotterelhatchError | None:
    """Return the error of a problem document, None for other content."""
    try:
        kind = ErrorKind(content.get('code'))
    except ValueError:
        return None
    return DotterelhatchError(kind, f'{address}: {content.get("detail")}')


def _no_response_error(address: str, reason: str) -> DotterelhatchError:
    return DotterelhatchError(
        ErrorKind.NOT_READY, f'no usable response from {address}: {reason}'
    )
