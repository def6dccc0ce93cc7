"""Bridge from grpcio to curio for the exchange between routers.

grpcio has no support for curio. Calls run in worker threads: for a future,
grpcio starts a thread per call, and benchmarks/exchange.py measured about a
tenth more CPU for it at 20 calls per second.
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
_SERVER_THREADS: Final = 8
# Calls beyond the threads wait; those of a whole fleet that reconnects at once
# must not pile up.
_SERVER_CALLS: Final = 256
# A thread is started only when all others are busy. The limit is above the
# number of peers that one lost failure domain silences at the same time in
# the calls of one router, because each of them holds a thread for a timeout.
_CLIENT_THREADS: Final = 32
_NEVER_MILLISECONDS: Final = 2**31 - 1
# Bytes on an open connection beyond the protobuf frame, the same for frames of
# 52 to 2003 bytes: HTTP/2 frame headers, compressed fields, window updates.
_REQUEST_OVERHEAD_BYTES: Final = 58
_ANSWER_OVERHEAD_BYTES: Final = 64

_OPTIONS: Final = (
    ('grpc.max_receive_message_length', _MAX_FRAME_BYTES),
    # Membership probes do what keepalive pings would do.
    ('grpc.keepalive_time_ms', _NEVER_MILLISECONDS),
    ('grpc.http2.bdp_probe', 0),
    # The connection of a closed channel must not be picked up by the next.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.service_config_disable_resolution', 1),
    # A second process on the same address is an error.
    ('grpc.so_reuseport', 0),
)


class CallFailure(enum.Enum):
    """Why a call to a peer failed."""

    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    INVALID_ANSWER = 'invalid_answer'


_FAILURES: Final[Mapping[Any, CallFailure]] = MappingProxyType(
    {
        grpc.StatusCode.DEADLINE_EXCEEDED: CallFailure.TIMEOUT,
        grpc.StatusCode.UNAVAILABLE: CallFailure.UNREACHABLE,
        grpc.StatusCode.CANCELLED: CallFailure.UNREACHABLE,
    }
)


class PendingReply:
    """The place where the daemon answers one received frame."""

    def __init__(self) -> None:
        """Wait for an answer."""
        self.sent_bytes = 0
        self._future: futures.Future[wire.Frame] = futures.Future()

    def send(self, frame: Frame) -> bool:
        """Send the answer.

        :param frame: the answer.
        :returns: False when the call has ended before.
        :raises CodecError: when the frame cannot be encoded.
        """
        encoded = frame_to_wire(frame)
        try:
            self._future.set_result(encoded)
        except futures.InvalidStateError:
            return False
        self.sent_bytes = _answer_bytes(encoded)
        return True

    def cancel(self) -> None:
        """Fail the call unless it was answered."""
        self._future.cancel()

    def wait(self, timeout_seconds: float) -> wire.Frame | None:
        """Block the calling thread until there is an answer or none."""
        try:
            return self._future.result(timeout_seconds)
        except (futures.TimeoutError, futures.CancelledError):
            self._future.cancel()
            return None


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A peer called; the daemon answers through the slot."""

    frame: Frame
    pending_reply: PendingReply
    received_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """A call that was submitted has its answer."""

    peer_address: str
    frame: Frame
    sent_bytes: int = field(default=0, compare=False)
    received_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call that was submitted has failed; its connection is closed."""

    peer_address: str
    reason: CallFailure
    sent_bytes: int = field(default=0, compare=False)


PeerEvent = FrameReceived | CallSucceeded | CallFailed


class PeerExchange:
    """Server and calls of the exchange between routers.

    An async context manager: the server listens and calls are possible
    inside, and all threads and connections have ended after it.

    :param settings: settings of the process.
    """

    def __init__(self, settings: RouterSettings) -> None:
        """Keep the settings; nothing is opened yet."""
        self._address = settings.peer_address
        self._timeout_seconds = settings.exchange.call_timeout_seconds
        self._inbox = curio.UniversalQueue()
        self._calls = _Calls(self._inbox, self._timeout_seconds)
        self._servicer = _Servicer(self._inbox, self._timeout_seconds)
        self._pool = futures.ThreadPoolExecutor(
            _SERVER_THREADS, thread_name_prefix='peer-server'
        )
        self._server = grpc.server(
            self._pool,
            options=_OPTIONS,
            maximum_concurrent_rpcs=_SERVER_CALLS,
        )
        # The generated code has no annotations.
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
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Fail what is in progress and end all threads."""
        async with curio.disable_cancellation():
            await curio.run_in_thread(self._stop)

    @property
    def bound_address(self) -> str:
        """Return the address in use, with the port that port 0 became."""
        return self._address

    def submit(self, peer_address: str, frame: Frame) -> None:
        """Start a call; its outcome arrives as an event.

        :param peer_address: ``ip:port`` of a peer that is not busy.
        :param frame: the frame to send.
        :raises CodecError: when the frame cannot be encoded.
        :raises DotterelhatchError: INTERNAL when a call to the peer is in
            flight, STOPPING after the end of the context.
        """
        self._calls.submit(peer_address, frame_to_wire(frame))

    def has_call_in_flight(self, peer_address: str) -> bool:
        """Return whether a call to a peer is in flight."""
        return self._calls.has_call_in_flight(peer_address)

    async def next_event(self) -> PeerEvent:
        """Return the next event, waiting for it."""
        # A cancellation that is pending here would leave a getter behind in
        # the queue, and the next put would deadlock in its worker thread.
        await curio.check_cancellation()
        event: PeerEvent = await self._inbox.get()
        return event

    def dump(self) -> dict[str, object]:
        """Return the state for people to read."""
        return {
            'address': self._address,
            'open_slots_count': self._servicer.pending_count(),
            **self._calls.dump(),
            'sent_bytes': self._calls.sent_bytes + self._servicer.sent_bytes,
        }

    def _stop(self) -> None:
        self._servicer.stop()
        self._server.stop(None).wait()
        self._calls.stop()
        self._pool.shutdown()


class _Servicer(wire_grpc.PeersServicer):
    """Hands received frames to the daemon and waits for the answers."""

    def __init__(self, inbox: Any, timeout_seconds: float) -> None:
        self._inbox = inbox
        self._timeout_seconds = timeout_seconds
        self._lock = threading.Lock()
        self._slots: set[PendingReply] = set()
        self._stopped = False
        self.sent_bytes = 0

    def Exchange(  # noqa: N802 - the generated name of the call
        self, request: wire.Frame, context: Any
    ) -> wire.Frame:
        """Answer one call of a peer."""
        try:
            frame = frame_from_wire(request)
        except CodecError as error:
            _abort(context, grpc.StatusCode.INVALID_ARGUMENT, error.detail)
        answer = self._wait(frame, _request_bytes(request))
        if answer is None:
            _abort(context, grpc.StatusCode.ABORTED, 'no answer in time')
        return answer

    def stop(self) -> None:
        """Fail the calls that wait for an answer, and all later ones."""
        with self._lock:
            self._stopped = True
            slots = list(self._slots)
        for slot in slots:
            slot.cancel()

    def pending_count(self) -> int:
        """Return how many calls wait for an answer."""
        return len(self._slots)

    def _wait(self, frame: Frame, received_bytes: int) -> wire.Frame | None:
        slot = PendingReply()
        with self._lock:
            if self._stopped:
                return None
            self._slots.add(slot)
        self._inbox.put(FrameReceived(frame, slot, received_bytes))
        answer = slot.wait(self._timeout_seconds)
        with self._lock:
            self._slots.discard(slot)
            if answer is not None:
                self.sent_bytes += answer.ByteSize()
        return answer


def _request_bytes(request: wire.Frame) -> int:
    return request.ByteSize() + _REQUEST_OVERHEAD_BYTES


def _answer_bytes(answer: wire.Frame) -> int:
    return answer.ByteSize() + _ANSWER_OVERHEAD_BYTES


def _abort(context: Any, code: Any, detail: str) -> NoReturn:
    context.abort(code, detail)
    # Not reached: abort raises, which its missing annotations do not tell.
    raise DotterelhatchError(ErrorKind.INTERNAL, detail)


class _Connection:
    """A channel with its call, which is costly to make for each use."""

    def __init__(self, address: str) -> None:
        # The scheme keeps names from being resolved.
        self._channel = grpc.insecure_channel(f'ipv4:{address}', _OPTIONS)
        make_stub: Any = wire_grpc.PeersStub
        self.exchange = make_stub(self._channel).Exchange

    def close(self) -> None:
        """Close the connection and fail a call that is in flight."""
        self._channel.close()


class _Calls:
    """Calls to the peers, with one channel per address."""

    def __init__(self, inbox: Any, timeout_seconds: float) -> None:
        self._inbox = inbox
        self._timeout_seconds = timeout_seconds
        self._lock = threading.Lock()
        self._connections: dict[str, _Connection] = {}
        self._in_flight: set[str] = set()
        self._stopped = False
        self.sent_bytes = 0
        self._pool = futures.ThreadPoolExecutor(
            _CLIENT_THREADS, thread_name_prefix='peer-call'
        )

    def submit(self, address: str, request: wire.Frame) -> None:
        """Run a call in a worker thread."""
        with self._lock:
            if self._stopped:
                raise DotterelhatchError(
                    ErrorKind.STOPPING, 'the exchange with peers has ended'
                )
            if address in self._in_flight:
                raise DotterelhatchError(
                    ErrorKind.INTERNAL, f'a call to {address} is in flight'
                )
            self._in_flight.add(address)
            self.sent_bytes += request.ByteSize()
            self._pool.submit(self._run, address, request)

    def has_call_in_flight(self, address: str) -> bool:
        """Return whether a call is in flight."""
        return address in self._in_flight

    def dump(self) -> dict[str, object]:
        """Return the state for people to read."""
        with self._lock:
            return {
                'connections': sorted(self._connections),
                'in_flight': sorted(self._in_flight),
            }

    def stop(self) -> None:
        """Cancel the calls and end the threads."""
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
            # A connection can be silent for good while a new one works.
            self._close(address)
        with self._lock:
            self._in_flight.discard(address)
        self._inbox.put(event)

    def _call(
        self, address: str, request: wire.Frame
    ) -> CallSucceeded | CallFailed:
        try:
            return self._exchange(address, request)
        except grpc.RpcError as error:
            reason = _FAILURES.get(error.code(), CallFailure.REFUSED)
        except CodecError:
            reason = CallFailure.INVALID_ANSWER
        except ValueError:
            # grpcio refuses calls on a channel that was closed meanwhile.
            reason = CallFailure.UNREACHABLE
        return CallFailed(address, reason, _request_bytes(request))

    def _exchange(self, address: str, request: wire.Frame) -> CallSucceeded:
        connection = self._connection(address)
        answer = connection.exchange(request, timeout=self._timeout_seconds)
        return CallSucceeded(
            address,
            frame_from_wire(answer),
            _request_bytes(request),
            _answer_bytes(answer),
        )

    def _connection(self, address: str) -> _Connection:
        with self._lock:
            if self._stopped:
                raise ValueError('the exchange with peers has ended')
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
