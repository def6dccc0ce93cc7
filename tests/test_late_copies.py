"""Late copies of earlier responses, on connections that are in use again."""

import contextlib
import enum
import re
from dataclasses import dataclass

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelhatch.fleet import ServiceLimits
from dotterelhatch.net.httptypes import RequestHead
from dotterelhatch.net.stream import SocketStream, bind_listener
from dotterelhatch.net.targets import TargetClient, TargetFailure

LIMITS = ServiceLimits(
    first_byte_timeout_seconds=0.2, progress_timeout_seconds=0.2
)
_ID = re.compile(rb'X-Request-Id: r(\d+)')


class Framing(enum.Enum):
    """How the end of a response is marked."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    NO_CONTENT = 'no content'


@dataclass(frozen=True)
class Exchange:
    """A request and its response, with the copies that come before it.

    :param copies: which of the earlier responses on the connection are sent
        once more, counted from the first.
    :param has_interim: whether an informational response comes first.
    :param split_bytes: length of the parts in which all of it is written.
    """

    method: str
    framing: Framing
    copies: tuple[int, ...]
    has_interim: bool
    split_bytes: int


def _response(number: int, exchange: Exchange) -> bytes:
    status = 204 if exchange.framing is Framing.NO_CONTENT else 200
    head = f'HTTP/1.1 {status} OK\r\nX-Request-Id: r{number}\r\n'.encode()
    body = b'answer to %d' % number
    if exchange.framing is Framing.NO_CONTENT:
        return head + b'\r\n'
    if exchange.framing is Framing.CHUNKED:
        head += b'Transfer-Encoding: chunked\r\n\r\n'
        framed = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    else:
        head += b'Content-Length: %d\r\n\r\n' % len(body)
        framed = body
    return head if exchange.method == 'HEAD' else head + framed


def _expected_body(number: int, exchange: Exchange) -> bytes:
    has_body = exchange.method != 'HEAD'
    if not has_body or exchange.framing is Framing.NO_CONTENT:
        return b''
    return b'answer to %d' % number


async def _serve(stream: SocketStream, exchanges: list[Exchange]) -> None:
    """Answer the requests of one connection."""
    sent: list[bytes] = []
    with contextlib.suppress(OSError):
        while True:
            request = b''
            while not request.endswith((b'\r\n\r\n', b'\r\n\r\nbody')):
                content = await stream.read()
                if not content:
                    return
                request += content
            found = _ID.search(request)
            assert found is not None
            number = int(found[1])
            exchange = exchanges[number]
            answer = _response(number, exchange)
            copies = [sent[one] for one in exchange.copies if one < len(sent)]
            interim = b'HTTP/1.1 100 Continue\r\n\r\n' * exchange.has_interim
            content = b''.join((*copies, interim, answer))
            for start in range(0, len(content), exchange.split_bytes):
                await stream.write(
                    content[start : start + exchange.split_bytes]
                )
                await curio.sleep(0)
            sent.append(answer)


async def _call_all(address: str, exchanges: list[Exchange]) -> int:
    """Send all requests; return how many failed."""
    answered_count = 0
    async with TargetClient() as client:
        for number, exchange in enumerate(exchanges):
            head = RequestHead(exchange.method, f'/{number}', ())
            body = b'body' if exchange.method == 'POST' else b''
            with contextlib.suppress(TargetFailure):
                response = await client.open(
                    address, head, body, f'r{number}', LIMITS
                )
                async with response:
                    received = await response.read_all()
                assert received == _expected_body(number, exchange)
                assert (response.status == 204) is (
                    exchange.framing is Framing.NO_CONTENT
                )
                answered_count += 1
    return len(exchanges) - answered_count


def _run(exchanges: list[Exchange]) -> int:
    """Return how many of the requests failed."""

    async def main() -> int:
        listener = bind_listener('127.0.0.1:0')
        address = f'127.0.0.1:{listener.getsockname()[1]}'

        async def accept() -> None:
            accepting = curio.io.Socket(listener)
            while True:
                accepted, _ = await accepting.accept()
                stream = SocketStream(accepted._socket)
                await curio.spawn(_serve, stream, exchanges, daemon=True)

        server = await curio.spawn(accept, daemon=True)
        failed_count = await curio.timeout_after(
            20, _call_all, address, exchanges
        )
        await server.cancel()
        listener.close()
        return int(failed_count)

    return int(curio.run(main))


def _exchanges(*methods: str) -> st.SearchStrategy[list[Exchange]]:
    one = st.builds(
        Exchange,
        st.sampled_from(methods),
        st.sampled_from(Framing),
        st.lists(st.integers(0, 3), max_size=2).map(tuple),
        st.booleans(),
        st.sampled_from([1, 7, 40, 10_000]),
    )
    return st.lists(one, min_size=2, max_size=4)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(_exchanges('GET', 'POST', 'HEAD'))
def test_a_caller_gets_its_own_answer_or_none(
    exchanges: list[Exchange],
) -> None:
    """Guards against a copy that is taken for the answer to the next request.

    A target sends copies of earlier answers on a connection that is in use
    again, before its answer to the request that waits there. The copies and
    that answer have any framing, the requests any method, and the bytes
    arrive in any parts.
    """
    _run(exchanges)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(_exchanges('GET', 'POST', 'HEAD'))
def test_a_copy_costs_no_caller_its_answer(exchanges: list[Exchange]) -> None:
    """Guards against an answer that is lost behind a copy of another one.

    Every request has run, so that its caller should not get an error.
    """
    assert not _run(exchanges)
