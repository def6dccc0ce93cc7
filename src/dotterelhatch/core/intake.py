"""Order in which a busy server reads the requests that have arrived.

A server without an order spends its processor on whatever arrives: while a
flood of requests is read and rejected, the responses in progress wait. Here
organisations take turns (round robin), so that a flood from one of them
delays the requests of the others by one request each.
"""

import math
from collections import OrderedDict
from typing import Final, Generic, TypeVar

from dotterelhatch.ids import OrganisationId

__all__ = ('Flow', 'IntakeQueue')

# Newer requests come first, so one that has waited for this long is not likely
# to be read in time for its objective. Its caller should soon try again.
_MAX_WAIT_SECONDS: Final = 0.1

# Source of the requests on open connections.
_OPEN: Final = ''

EntryT = TypeVar('EntryT')
# Requests that take turns with those of other flows. None is the flow of the
# requests whose organisation is not known.
Flow = OrganisationId | None


class _FlowQueue(Generic[EntryT]):
    """Waiting requests of one flow, whose sources take turns.

    :ivar arrived: source and time of arrival of each request, in this order.
    """

    def __init__(self) -> None:
        self.arrived: OrderedDict[EntryT, tuple[str, float]] = OrderedDict()
        self._turns_count = 0
        # Those on new connections.
        self._connecting: OrderedDict[EntryT, None] = OrderedDict()
        self._sources: OrderedDict[str, OrderedDict[EntryT, None]] = (
            OrderedDict()
        )

    def add(self, entry: EntryT, source: str, now_seconds: float) -> None:
        self.arrived[entry] = (source, now_seconds)
        self._sources.setdefault(source, OrderedDict())[entry] = None
        if source != _OPEN:
            self._connecting[entry] = None

    def next(self) -> EntryT:
        """Return the latest request of the source whose turn it is.

        Open connections get every other turn besides their own: it takes less
        to read a request on them, and to reject one closes the connection.
        """
        self._turns_count += 1
        source = next(iter(self._sources))
        if self._turns_count % 2 and _OPEN in self._sources:
            source = _OPEN
        else:
            self._sources.move_to_end(source)
        return next(reversed(self._sources[source]))

    def next_rejected(self, before_seconds: float) -> EntryT | None:
        """Return the oldest request that arrived before some time.

        Those on new connections come first.
        """
        for entries in (self._connecting, self.arrived):
            entry = next(iter(entries), None)
            if entry is not None and self.arrived[entry][1] < before_seconds:
                return entry
        return None

    def remove(self, entry: EntryT) -> None:
        source, _ = self.arrived.pop(entry)
        self._connecting.pop(entry, None)
        waiting = self._sources[source]
        waiting.pop(entry)
        if not waiting:
            self._sources.pop(source)


class IntakeQueue(Generic[EntryT]):
    """Requests that have arrived and are not read yet.

    Flows take turns, and within one the sources of its requests. Of one
    source the latest request comes first: while the queue grows, the other
    order would let all requests wait until their callers have given up.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._flows: OrderedDict[Flow, _FlowQueue[EntryT]] = OrderedDict()
        self._flow_by_entry: dict[EntryT, Flow] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._flow_by_entry)

    def add(
        self, entry: EntryT, flow: Flow, now_seconds: float, source: str = _OPEN
    ) -> None:
        """Add a request that has arrived.

        :param flow: the organisation, None if it is not known.
        :param source: host of the caller if the connection is new.
        """
        self._flow_by_entry[entry] = flow
        queue = self._flows.setdefault(flow, _FlowQueue())
        queue.add(entry, source, now_seconds)

    def discard(self, entry: EntryT) -> None:
        """Remove a request, if it still waits."""
        if entry in self._flow_by_entry:
            self._remove(entry)

    def take_next(self) -> EntryT | None:
        """Remove and return the request that is read next."""
        if not self._flows:
            return None
        flow = next(iter(self._flows))
        self._flows.move_to_end(flow)
        entry = self._flows[flow].next()
        self._remove(entry)
        return entry

    def take_late(self, now_seconds: float) -> EntryT | None:
        """Remove and return a request that has waited for too long.

        It is one of the flow that has the most requests waiting.
        """
        return self._take_rejected(now_seconds - _MAX_WAIT_SECONDS)

    def take_excess(self, max_count: int) -> EntryT | None:
        """Remove and return a request if more than some are waiting.

        It is one of the flow that has the most requests waiting.
        """
        return None if len(self) <= max_count else self._take_rejected(math.inf)

    def _take_rejected(self, before_seconds: float) -> EntryT | None:
        if not self._flows:
            return None
        longest = max(self._flows.values(), key=_waiting_count)
        entry = longest.next_rejected(before_seconds)
        if entry is not None:
            self._remove(entry)
        return entry

    def _remove(self, entry: EntryT) -> None:
        flow = self._flow_by_entry.pop(entry)
        queue = self._flows[flow]
        queue.remove(entry)
        if not queue.arrived:
            self._flows.pop(flow)


def _waiting_count(queue: _FlowQueue[EntryT]) -> int:
    return len(queue.arrived)
