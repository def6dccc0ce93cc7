"""TCP relay that counts bytes and can drop the data of its connections."""

import contextlib
import socket
import threading
from types import TracebackType
from typing import Self

__all__ = ('Relay',)

_CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections on loopback to one address.

    A context manager: accepts connections inside, joins its threads on exit.

    :param address: ``ip:port`` to connect to.
    """

    def __init__(self, address: str) -> None:
        """Bind a free port."""
        host, _colon, port = address.rpartition(':')
        self._target = (host, int(port))
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._sockets: list[socket.socket] = []
        self._silent: set[socket.socket] = set()
        self.connection_count = 0
        self.to_server_bytes = 0
        self.to_client_bytes = 0

    def __enter__(self) -> Self:
        """Start accepting connections."""
        self._start(self._accept)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for connection in sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join()
        for connection in sockets:
            connection.close()

    @property
    def address(self) -> str:
        """Return the address that the relay listens on."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def silence(self) -> None:
        """Drop all further data on the connections that are open now."""
        with self._lock:
            self._silent.update(self._sockets)

    def _start(self, function: object, *params: object) -> None:
        thread = threading.Thread(target=function, args=params)  # type: ignore
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _peer = self._listener.accept()
                server = socket.create_connection(self._target)
                with self._lock:
                    self._sockets += [client, server]
                    self.connection_count += 1
                self._start(self._forward, client, server, True)
                self._start(self._forward, server, client, False)

    def _forward(
        self, source: socket.socket, sink: socket.socket, to_server: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(_CHUNK_BYTES):
                with self._lock:
                    if source in self._silent:
                        continue
                    if to_server:
                        self.to_server_bytes += len(chunk)
                    else:
                        self.to_client_bytes += len(chunk)
                sink.sendall(chunk)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)
