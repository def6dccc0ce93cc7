"""What a gateway knows of requests that it has not read."""

import pytest

from dotterelhatch.ids import OrganisationId
from dotterelhatch.platform.wire import PlatformWireFormat
from tests.gateway_helpers import (
    KEY,
    MODEL,
    open_gateway,
    run_async,
)
from standins.server import ServerStandIn

ORGANISATION = OrganisationId('usta-kazim')
HEAD = b'POST /draft/1 HTTP/1.1\r\nHost: h\r\n'


@pytest.mark.parametrize(
    ('received', 'api_key'),
    [
        (HEAD + b'Authorization: Bearer k\r\n\r\n', 'k'),
        (HEAD + b'AUTHORIZATION:bearer\tk \r\nA: b\r\n\r\nbody', 'k'),
        (HEAD + b'X-Authorization: Bearer k\r\n\r\n', None),
        (HEAD + b'Authorization: Basic k\r\n\r\n', None),
        (HEAD + b'\r\n\r\nAuthorization: Bearer k\r\n\r\n', None),
        (HEAD + b'Authorization: Bearer k\r\n', None),
        (b'', None),
    ],
)
def test_the_first_bytes_have_the_api_key(
    received: bytes, api_key: str | None
) -> None:
    """Guards against a key that is taken from elsewhere than the head."""
    assert PlatformWireFormat().find_api_key(received) == api_key


@run_async
async def test_requests_rejected_unread_are_demand() -> None:
    """Guards against fair shares that omit what a flooded router rejects.

    An organisation that opens a connection for each request would seem to
    have all that it asked for.
    """
    async with open_gateway((MODEL, ServerStandIn('m-1'))) as fixture:
        state = fixture.gateway.state
        intake = fixture.gateway._handler.intake
        received = HEAD + b'Authorization: Bearer %s\r\n\r\n' % KEY.encode()
        flow = intake.identify(received)
        assert flow == ORGANISATION
        await fixture.stream('/draft/1')
        asked_tokens = state.fair_shares.total_usage(flow).asked_tokens
        for _ in range(3):
            intake.on_rejected(flow)
        intake.on_rejected(None)
        usage = state.fair_shares.total_usage(flow)
        assert usage.asked_tokens == 4 * asked_tokens > 0
        window = state.admission_window(MODEL)
        assert window.rejection_rate(state.clock()) == 0.75
