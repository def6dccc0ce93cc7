"""What the gateway knows of a request before it is read."""

from collections.abc import Callable

from dotterelhatch.core.intake import Flow
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import WireFormat
from dotterelhatch.ids import OrganisationId

__all__ = ('GatewayIntake',)


class GatewayIntake:
    """Identifies the organisation of a request by its first bytes.

    The processor of a router is shared by organisation from the first byte on.
    Until it is known, the requests of all organisations compete as those of a
    single one, which a flood then has nearly to itself.

    :param state: of this gateway.
    :param wire: finds the API key.
    """

    def __init__(self, state: GatewayState, wire: WireFormat) -> None:
        """Start without requests."""
        self._state = state
        self._wire = wire
        self._demands: dict[OrganisationId, Callable[[], None]] = {}

    def identify(self, received: bytes) -> Flow:
        """Return the organisation of a request, None if it is not known."""
        table = self._state.table
        if table is None:
            return None
        api_key = self._wire.find_api_key(received)
        return None if api_key is None else table.find_organisation(api_key)

    def on_read(
        self, organisation: OrganisationId, demand: Callable[[], None]
    ) -> None:
        """Remember the last request of an organisation that was read.

        :param demand: counts a request like it as rejected.
        """
        self._demands[organisation] = demand

    def on_rejected(self, flow: Flow) -> None:
        """Count a request that is rejected unread.

        It probably resembles the last one of its organisation.
        """
        demand = None if flow is None else self._demands.get(flow)
        if demand is not None:
            demand()
