"""A connection that its caller uses for as long as the router keeps it."""

import contextlib
from typing import Any, Final

import curio
import h11

from dotterelhatch.net.httptypes import (
    Headers,
    HttpError,
    Response,
    decode_headers,
    encode_headers,
)
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('KeptConnection',)

_CONNECT_SECONDS: Final = 1.0


class KeptConnection:
    """Sends requests one after the other on one connection.

    Unlike the client of the routers, it sends all headers as they are.
    """

    def __init__(self) -> None:
        """Start without a connection."""
        self._stream: SocketStream | None = None
        self._http: Any = None

    @property
    def is_open(self) -> bool:
        """Return whether the next request uses the same connection."""
        return self._stream is not None

    async def fetch(
        self, address: str, path: str, headers: Headers, timeout_seconds: float
    ) -> Response:
        """Send a request and return its response.

        :param address: is used if there is no open connection.
        :raises HttpError: when there is no complete response.
        """
        try:
            async with curio.timeout_after(timeout_seconds):
                return await self._exchange(address, path, headers)
        except curio.TaskTimeout:
            self.close()
            raise HttpError('no response in time', is_timeout=True) from None
        except (OSError, WaitTimeoutError, h11.ProtocolError) as error:
            self.close()
            raise HttpError(str(error)) from error
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection if there is one."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _exchange(
        self, address: str, path: str, headers: Headers
    ) -> Response:
        if self._stream is None:
            self._stream = await SocketStream.connect(address, _CONNECT_SECONDS)
            self._http = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method='POST', target=path, headers=encode_headers(headers)
        )
        content = self._http.send(request) + self._http.send(h11.EndOfMessage())
        await self._stream.write(content)
        head = await self._next_event(self._stream)
        parts = []
        event = await self._next_event(self._stream)
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            event = await self._next_event(self._stream)
        self._prepare_next()
        return Response(
            head.status_code, decode_headers(head.headers), b''.join(parts)
        )

    async def _next_event(self, stream: SocketStream) -> Any:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await stream.read())
            event = self._http.next_event()
        return event

    def _prepare_next(self) -> None:
        with contextlib.suppress(h11.LocalProtocolError):
            self._http.start_next_cycle()
            return
        self.close()
