"""Calls between routers: grpcio in worker threads, with events for curio.

grpcio does not support curio, so blocking calls run in a thread pool. The
futures of grpcio would start a thread per call and take about 10 % more CPU at
20 calls per second (benchmarks/exchange.py).
"""

import enum
import threading
from concurrent import futures
from dataclasses import dataclass, field
from types import MappingProxyType, TracebackType
from typing import Any, Final, Mapping, NoReturn, Self

import curio
import grpc

from dotterelhatch.core.messages import Frame
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.settings import RouterSettings
from dotterelhatch.wire import exchange_pb2 as wire
from dotterelhatch.wire import exchange_pb2_grpc as wire_grpc
from dotterelhatch.wire.codec import (
    CodecError,
    frame_from_wire,
    frame_to_wire,
)

__all__ = (
    'CallFailed',
    'CallFailure',
    'CallSucceeded',
    'FrameReceived',
    'PeerEvent',
    'PeerExchange',
    'PendingReply',
)

_MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
_SERVER_THREADS_COUNT: Final = 8
# Calls beyond the number of threads are queued up to this limit, so that the
# queue stays bounded when a whole fleet reconnects at once.
_MAX_SERVER_CALLS_COUNT: Final = 256
# A thread is started only when all others are in use. Each call to a peer that
# does not respond holds a thread until its timeout, so the limit exceeds the
# number of peers that a router calls at the same time and that can become
# unreachable together with one failure domain.
_CLIENT_THREADS_COUNT: Final = 32
_KEEPALIVE_DISABLED_MILLISECONDS: Final = 2**31 - 1
# Bytes per message on an open connection besides the protobuf frame: HTTP/2
# frame headers, compressed header fields and window updates. They are the same
# for frames of 52 to 2003 bytes.
_REQUEST_OVERHEAD_BYTES: Final = 58
_REPLY_OVERHEAD_BYTES: Final = 64

_OPTIONS: Final = (
    ('grpc.max_receive_message_length', _MAX_FRAME_BYTES),
    # Membership probes detect dead peers, so keepalive pings are not needed.
    ('grpc.keepalive_time_ms', _KEEPALIVE_DISABLED_MILLISECONDS),
    ('grpc.http2.bdp_probe', 0),
    # A new channel must not reuse the connection of a closed one.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.service_config_disable_resolution', 1),
    # Binding fails if another process listens on the address.
    ('grpc.so_reuseport', 0),
)


class CallFailure(enum.Enum):
    """Why a call to a peer failed."""

    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    INVALID_ANSWER = 'invalid_answer'


_FAILURES_BY_STATUS: Final[Mapping[Any, CallFailure]] = MappingProxyType(
    {
        grpc.StatusCode.DEADLINE_EXCEEDED: CallFailure.TIMEOUT,
        grpc.StatusCode.UNAVAILABLE: CallFailure.UNREACHABLE,
        grpc.StatusCode.CANCELLED: CallFailure.UNREACHABLE,
    }
)


class PendingReply:
    """The reply to a received frame, for which a server thread waits."""

    def __init__(self) -> None:
        """Start without a reply."""
        self.sent_bytes = 0
        self._future: futures.Future[wire.Frame] = futures.Future()

    def send(self, frame: Frame) -> bool:
        """Send the reply to the peer.

        :returns: False if the call has already timed out or was cancelled.
        :raises CodecError: when the frame cannot be encoded.
        """
        encoded = frame_to_wire(frame)
        try:
            self._future.set_result(encoded)
        except futures.InvalidStateError:
            return False
        self.sent_bytes = _reply_bytes(encoded)
        return True

    def cancel(self) -> None:
        """Fail the call unless the reply was sent."""
        self._future.cancel()

    def wait(self, timeout_seconds: float) -> wire.Frame | None:
        """Block the thread until there is a reply.

        :returns: None after a timeout or a cancellation.
        """
        try:
            return self._future.result(timeout_seconds)
        except (futures.TimeoutError, futures.CancelledError):
            self._future.cancel()
            return None


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A peer sent a frame and waits for the reply."""

    frame: Frame
    pending_reply: PendingReply
    received_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """A submitted call has received its reply."""

    peer_address: str
    frame: Frame
    sent_bytes: int = field(default=0, compare=False)
    received_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A submitted call has failed and its connection was closed."""

    peer_address: str
    reason: CallFailure
    sent_bytes: int = field(default=0, compare=False)


PeerEvent = FrameReceived | CallSucceeded | CallFailed


class PeerExchange:
    """Server and client of the calls between routers.

    An asynchronous context manager. The server listens and calls can be
    submitted within the context; at its end all threads and connections are
    closed.
    """

    def __init__(self, settings: RouterSettings) -> None:
        """Create the server and the client; nothing is opened yet."""
        self._address = settings.peer_address
        self._timeout_seconds = settings.exchange.call_timeout_seconds
        self._events = curio.UniversalQueue()
        self._client = _Client(self._events, self._timeout_seconds)
        self._servicer = _Servicer(self._events, self._timeout_seconds)
        self._pool = futures.ThreadPoolExecutor(
            _SERVER_THREADS_COUNT, thread_name_prefix='peer-server'
        )
        self._server = grpc.server(
            self._pool,
            options=_OPTIONS,
            maximum_concurrent_rpcs=_MAX_SERVER_CALLS_COUNT,
        )
        # The generated code has no type annotations.
        add_servicer: Any = wire_grpc.add_PeersServicer_to_server
        add_servicer(self._servicer, self._server)

    async def __aenter__(self) -> Self:
        """Listen on the peer address.

        :raises DotterelhatchError: SETTINGS_INVALID when the address cannot
            be bound.
        """
        host, _colon, _port = self._address.rpartition(':')
        try:
            port = self._server.add_insecure_port(self._address)
        except RuntimeError as error:
            await curio.run_in_thread(self._stop)
            raise DotterelhatchError(
                ErrorKind.SETTINGS_INVALID,
                f'cannot listen on peer address {self._address}: {error}',
            ) from error
        self._address = f'{host}:{port}'
        self._server.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Fail the calls in progress and stop all threads."""
        async with curio.disable_cancellation():
            await curio.run_in_thread(self._stop)

    @property
    def bound_address(self) -> str:
        """Return the address of the server with its actual port."""
        return self._address

    def submit(self, peer_address: str, frame: Frame) -> None:
        """Start a call; its result arrives as an event.

        :param peer_address: ``ip:port`` of a peer without a call in flight.
        :raises CodecError: when the frame cannot be encoded.
        :raises DotterelhatchError: INTERNAL if a call to the peer is already
            in flight, STOPPING after the end of the context.
        """
        self._client.submit(peer_address, frame_to_wire(frame))

    def has_call_in_flight(self, peer_address: str) -> bool:
        """Return whether a call to a peer is in flight."""
        return self._client.has_call_in_flight(peer_address)

    async def next_event(self) -> PeerEvent:
        """Wait for the next event and return it."""
        # If a cancellation were pending in the get, its waiter would stay in
        # the queue, and the next put would deadlock in its worker thread.
        await curio.check_cancellation()
        event: PeerEvent = await self._events.get()
        return event

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'address': self._address,
            'open_slots_count': self._servicer.pending_count(),
            **self._client.dump(),
            'sent_bytes': self._client.sent_bytes + self._servicer.sent_bytes,
        }

    def _stop(self) -> None:
        self._servicer.stop()
        self._server.stop(None).wait()
        self._client.stop()
        self._pool.shutdown()


class _Servicer(wire_grpc.PeersServicer):
    """Puts received frames into the event queue and waits for the replies."""

    def __init__(self, events: Any, timeout_seconds: float) -> None:
        self._events = events
        self._timeout_seconds = timeout_seconds
        self._lock = threading.Lock()
        self._pending_replies: set[PendingReply] = set()
        self._stopped = False
        self.sent_bytes = 0

    def Exchange(  # noqa: N802 - the generated name of the call
        self, request: wire.Frame, context: Any
    ) -> wire.Frame:
        """Handle one call of a peer."""
        try:
            frame = frame_from_wire(request)
        except CodecError as error:
            _abort(context, grpc.StatusCode.INVALID_ARGUMENT, error.detail)
        reply = self._await_reply(frame, _request_bytes(request))
        if reply is None:
            _abort(
                context,
                grpc.StatusCode.ABORTED,
                'no reply before the call timeout',
            )
        return reply

    def stop(self) -> None:
        """Fail the calls that wait for a reply, and all later ones."""
        with self._lock:
            self._stopped = True
            pending_replies = list(self._pending_replies)
        for pending_reply in pending_replies:
            pending_reply.cancel()

    def pending_count(self) -> int:
        """Return the number of calls that wait for a reply."""
        return len(self._pending_replies)

    def _await_reply(
        self, frame: Frame, received_bytes: int
    ) -> wire.Frame | None:
        pending_reply = PendingReply()
        with self._lock:
            if self._stopped:
                return None
            self._pending_replies.add(pending_reply)
        self._events.put(FrameReceived(frame, pending_reply, received_bytes))
        reply = pending_reply.wait(self._timeout_seconds)
        with self._lock:
            self._pending_replies.discard(pending_reply)
            if reply is not None:
                self.sent_bytes += reply.ByteSize()
        return reply


def _request_bytes(request: wire.Frame) -> int:
    return request.ByteSize() + _REQUEST_OVERHEAD_BYTES


def _reply_bytes(reply: wire.Frame) -> int:
    return reply.ByteSize() + _REPLY_OVERHEAD_BYTES


def _abort(context: Any, code: Any, detail: str) -> NoReturn:
    context.abort(code, detail)
    # Unreachable, because abort raises; grpcio has no annotation for that.
    raise DotterelhatchError(ErrorKind.INTERNAL, detail)


class _Connection:
    """A channel and its call object, which is expensive to create."""

    def __init__(self, address: str) -> None:
        # The scheme prevents name resolution.
        self._channel = grpc.insecure_channel(f'ipv4:{address}', _OPTIONS)
        make_stub: Any = wire_grpc.PeersStub
        self.exchange = make_stub(self._channel).Exchange

    def close(self) -> None:
        """Close the channel, which fails a call in flight."""
        self._channel.close()


class _Client:
    """Client with one channel and at most one call in flight per address."""

    def __init__(self, events: Any, timeout_seconds: float) -> None:
        self._events = events
        self._timeout_seconds = timeout_seconds
        self._lock = threading.Lock()
        self._connections: dict[str, _Connection] = {}
        self._in_flight: set[str] = set()
        self._stopped = False
        self.sent_bytes = 0
        self._pool = futures.ThreadPoolExecutor(
            _CLIENT_THREADS_COUNT, thread_name_prefix='peer-call'
        )

    def submit(self, address: str, request: wire.Frame) -> None:
        """Run a call in a worker thread."""
        with self._lock:
            if self._stopped:
                raise DotterelhatchError(
                    ErrorKind.STOPPING, 'calls to peers have been stopped'
                )
            if address in self._in_flight:
                raise DotterelhatchError(
                    ErrorKind.INTERNAL,
                    f'a call to {address} is already in flight',
                )
            self._in_flight.add(address)
            self.sent_bytes += request.ByteSize()
            self._pool.submit(self._run, address, request)

    def has_call_in_flight(self, address: str) -> bool:
        """Return whether a call to an address is in flight."""
        return address in self._in_flight

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        with self._lock:
            return {
                'connections': sorted(self._connections),
                'in_flight': sorted(self._in_flight),
            }

    def stop(self) -> None:
        """Cancel the calls and stop the threads."""
        with self._lock:
            self._stopped = True
            connections = list(self._connections.values())
            self._connections.clear()
        for connection in connections:
            connection.close()
        self._pool.shutdown(cancel_futures=True)

    def _run(self, address: str, request: wire.Frame) -> None:
        event = self._call(address, request)
        if isinstance(event, CallFailed):
            # A connection may be dead although a new one would work.
            self._close(address)
        with self._lock:
            self._in_flight.discard(address)
        self._events.put(event)

    def _call(
        self, address: str, request: wire.Frame
    ) -> CallSucceeded | CallFailed:
        try:
            return self._exchange(address, request)
        except grpc.RpcError as error:
            reason = _FAILURES_BY_STATUS.get(error.code(), CallFailure.REFUSED)
        except CodecError:
            reason = CallFailure.INVALID_ANSWER
        except ValueError:
            # The channel was closed while the call was being started.
            reason = CallFailure.UNREACHABLE
        return CallFailed(address, reason, _request_bytes(request))

    def _exchange(self, address: str, request: wire.Frame) -> CallSucceeded:
        connection = self._get_connection(address)
        reply = connection.exchange(request, timeout=self._timeout_seconds)
        return CallSucceeded(
            address,
            frame_from_wire(reply),
            _request_bytes(request),
            _reply_bytes(reply),
        )

    def _get_connection(self, address: str) -> _Connection:
        with self._lock:
            if self._stopped:
                raise ValueError('calls to peers have been stopped')
            connection = self._connections.get(address)
            if connection is None:
                connection = _Connection(address)
                self._connections[address] = connection
        return connection

    def _close(self, address: str) -> None:
        with self._lock:
            connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()
