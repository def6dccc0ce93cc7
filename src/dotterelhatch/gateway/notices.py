"""What targets say about themselves in the heads of their responses."""

from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.request_records import Attempt
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import WireFormat
from dotterelhatch.net.targets import TargetResponse

__all__ = ('TargetNotices',)


class TargetNotices:
    """Applies to the state of a gateway what targets say in their responses.

    :param state: of this gateway.
    :param wire: decodes the heads of the responses.
    """

    def __init__(self, state: GatewayState, wire: WireFormat) -> None:
        """Store the components."""
        self._state = state
        self._wire = wire

    def apply(self, attempt: Attempt, response: TargetResponse) -> None:
        """Apply a response that says that the target leaves or pauses.

        A misdirected request was answered by another instance, which says
        nothing about the target.
        """
        if self._wire.is_misdirected(response.status):
            return
        if self._wire.is_leaving(response.headers):
            self._on_leaving(attempt)
        self._on_pause(attempt, response)

    def _on_leaving(self, attempt: Attempt) -> None:
        entry = attempt.placement.entry
        if not self._state.registry.mark_leaving(entry):
            return
        log_decision(
            Decision.TARGET_LEAVING,
            target=entry.id,
            service=entry.service,
            address=entry.address,
            started_ms=entry.started_ms,
        )
        self._state.update_ready_targets(entry.service)

    def _on_pause(self, attempt: Attempt, response: TargetResponse) -> None:
        state = self._state
        entry = attempt.placement.entry
        pause_seconds = self._wire.pause_seconds(
            response.status, response.headers
        )
        change = state.balancer.pauses.on_answer(
            entry, pause_seconds, attempt.started_seconds, state.clock()
        )
        if change is not None:
            log_decision(
                Decision.TARGET_PAUSED,
                target=entry.id,
                service=entry.service,
                change=change.value,
                pause_seconds=pause_seconds,
                status=response.status,
            )
