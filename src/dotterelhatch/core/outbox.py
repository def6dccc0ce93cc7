"""Outgoing messages to the other routers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dotterelhatch.core.messages import (
    Charge,
    CrashReport,
    Grant,
    Message,
    Release,
    TargetLeaving,
)
from dotterelhatch.ids import RouterId

__all__ = ('Outbox', 'Outboxes')

# Messages that are sent again after a failed call. The other ones describe
# state that is repeated anyway.
_RESENT_TYPES = (Charge, CrashReport, Grant, Release, TargetLeaving)
# Messages about grants, which mean nothing to a restarted router.
_GRANT_TYPES = (Charge, Grant, Release)


@dataclass
class Outbox:
    """Messages for one router and the call that is in flight to it.

    :param is_backing_off: the last call failed. Urgent messages then start no
        call until the next exchange period or until a frame of the router
        arrives. Without this, calls to a dead router would follow each other
        without a pause, since a refused connection fails at once and each
        failure makes the demand to that router urgent again.
    """

    waiting: list[Message] = field(default_factory=list)
    in_flight: tuple[Message, ...] = ()
    is_urgent: bool = False
    is_calling: bool = False
    is_backing_off: bool = False
    sequence: int = 0

    def take_messages(self) -> tuple[Message, ...]:
        """Remove and return the waiting messages."""
        taken = tuple(self.waiting)
        self.waiting.clear()
        self.is_urgent = False
        self.sequence += 1
        return taken


class Outboxes:
    """The outboxes for messages to the other routers."""

    def __init__(self) -> None:
        """Start without messages."""
        self._outboxes: dict[RouterId, Outbox] = {}

    def enqueue(
        self, router: RouterId, message: Message, *, urgent: bool
    ) -> None:
        """Queue a message; an urgent one starts a call."""
        outbox = self.outbox_of(router)
        outbox.waiting.append(message)
        outbox.is_urgent = outbox.is_urgent or urgent

    def outbox_of(self, router: RouterId) -> Outbox:
        """Return the outbox of a router, which is created if necessary."""
        return self._outboxes.setdefault(router, Outbox())

    def start_call(self, router: RouterId) -> tuple[Message, ...]:
        """Mark a call as started and return the messages to send."""
        outbox = self.outbox_of(router)
        outbox.is_calling = True
        outbox.in_flight = outbox.take_messages()
        return outbox.in_flight

    def finish_call(self, router: RouterId, *, failed: bool) -> None:
        """Mark a call as ended; after a failure, queue its messages again."""
        outbox = self.outbox_of(router)
        outbox.is_calling = False
        outbox.is_backing_off = failed
        if failed:
            resent = [
                one
                for one in outbox.in_flight
                if isinstance(one, _RESENT_TYPES)
            ]
            outbox.waiting = resent + outbox.waiting
        outbox.in_flight = ()

    def routers_to_call(self) -> list[RouterId]:
        """Return the routers to call now, for urgent messages."""
        return [
            router
            for router, outbox in self._outboxes.items()
            if outbox.is_urgent
            and not (outbox.is_calling or outbox.is_backing_off)
        ]

    def call_immediately(self, router: RouterId) -> None:
        """Let the next call to a router start now, even after a failed call."""
        outbox = self.outbox_of(router)
        outbox.is_backing_off = False
        outbox.is_urgent = True

    def routers_with_messages(self) -> list[RouterId]:
        """Return the routers for which any messages are queued."""
        return [
            router
            for router, outbox in self._outboxes.items()
            if outbox.waiting
        ]

    def discard_all(self, router: RouterId) -> None:
        """Discard the messages to an unreachable router."""
        outbox = self.outbox_of(router)
        outbox.waiting.clear()
        outbox.is_urgent = False

    def remove_grants(self, router: RouterId) -> None:
        """Discard messages about grants to a former incarnation."""
        outbox = self.outbox_of(router)
        outbox.waiting = _without_grants(outbox.waiting)
        outbox.in_flight = tuple(_without_grants(outbox.in_flight))


def _without_grants(messages: Iterable[Message]) -> list[Message]:
    return [one for one in messages if not isinstance(one, _GRANT_TYPES)]
