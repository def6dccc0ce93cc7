"""Passes the request on a connection to another server without parsing it.

Relaying bytes takes a fraction of the processor time of serving a request. A
server whose processor is saturated can so have its callers served by others.
"""

import contextlib
import socket
from typing import Final

import curio

from dotterelhatch.net.httptypes import CLOSE_HEADER
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('HEAD_END', 'NotPassedError', 'PassedRequest')

HEAD_END: Final = b'\r\n\r\n'
_LINE_END: Final = b'\r\n'
_CLOSE_LINE: Final = ': '.join(CLOSE_HEADER).encode() + _LINE_END
_CONNECT_TIMEOUT_SECONDS: Final = 0.2
# A server that has lost power sends no reset. Probes find that out in a few
# seconds, also while it has nothing to send.
_PROBE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


class NotPassedError(Exception):
    """The other server could not be reached and has seen no byte."""


class PassedRequest:
    """A request whose response comes from another server, byte by byte.

    The connection carries this request only: the other server is asked to
    close it, so that the next one takes its turn here again.

    :param caller: connection of the caller.
    :param address: of the other server.
    :param timeout_seconds: longest time without any byte being accepted by
        either side.
    """

    def __init__(
        self, caller: SocketStream, address: str, timeout_seconds: float
    ) -> None:
        """Store the parameters."""
        self._caller = caller
        self._address = address
        self._timeout_seconds = timeout_seconds
        self.sent_bytes = 0

    async def run(self, received: bytes) -> bool:
        """Relay the request and its response.

        :param received: the first bytes of the request, with its whole head.
        :returns: whether the connection of the other server ended regularly.
        :raises NotPassedError: the request can be served here instead.
        """
        try:
            server = await SocketStream.connect(
                self._address, _CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, WaitTimeoutError) as error:
            raise NotPassedError(str(error)) from error
        try:
            return await self._relay(server, received)
        finally:
            server.close()

    async def _relay(self, server: SocketStream, received: bytes) -> bool:
        server.set_options(_PROBE_OPTIONS)
        sending = await curio.spawn(
            self._send, server, _with_close(received), daemon=True
        )
        try:
            while content := await server.read():
                await self._caller.write(content, self._timeout_seconds)
        except (OSError, WaitTimeoutError):
            return False
        finally:
            await sending.cancel()
        return True

    async def _send(self, server: SocketStream, content: bytes) -> None:
        """Send what the caller sends, until it disconnects."""
        with contextlib.suppress(OSError, WaitTimeoutError):
            while content:
                await server.write(content, self._timeout_seconds)
                self.sent_bytes += len(content)
                content = await self._caller.read()
        server.shutdown()


def _with_close(received: bytes) -> bytes:
    """Ask for the connection to be closed after the response."""
    request_line, _, rest = received.partition(_LINE_END)
    return request_line + _LINE_END + _CLOSE_LINE + rest
