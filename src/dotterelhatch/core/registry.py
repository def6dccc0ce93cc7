"""The targets that register themselves in a list of the platform."""

import enum
import math
from collections.abc import Collection, Container, Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from dotterelhatch.core.departures import TargetDepartures, TargetStart
from dotterelhatch.ids import FailureDomain, ServiceId, TargetId

__all__ = ('TargetEntry', 'TargetRegistry', 'TargetState')

# Targets whose entries expired during an outage of the list register again
# within two seconds after it; some entries expire only after it. The rest is
# the delay until the list is read.
_LAPSE_WINDOW_SECONDS: Final = 2.5
# Many times the targets that leave while a late write may bring one back.
_MAX_UNUSABLE_COUNT: Final = 4096
# Time until a router knows that an entry has disappeared, by its own calls or
# from a peer, and until a request reaches its target.
_MAX_NOTICE_SECONDS: Final = 0.9


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """What a target publishes about itself.

    :param started_ms: Unix time of its start, which distinguishes the
        incarnations of a target.
    :param cold_left_seconds: how much longer the target stays cold, when the
        row was written. It counts down, so it does not make entries differ.
    :param row_version: distinguishes the rows of one start.
    """

    id: TargetId
    service: ServiceId
    address: str
    failure_domain: FailureDomain
    state: TargetState
    slots_count: int
    started_ms: int = 0
    cold_left_seconds: float = field(default=0, compare=False)
    row_version: int = field(default=0, compare=False)

    @property
    def start(self) -> TargetStart:
        """Return what distinguishes the starts of all targets."""
        return self.id, self.started_ms


class TargetRegistry:
    """The current targets of all services.

    A target that was listed as leaving, or that said so in an answer, stays so
    until it starts again, also if it disappears and is listed once more. An
    entry that disappears right after an outage of the list is kept for a
    grace period from then on, because entries expire when they cannot be
    renewed. It may also be that of a target that has left.

    Without an outage, a target whose entry disappears has left, unless all
    entries do. Its start is used again only once its entry can't be a late
    write any more.

    :param departure_seconds: time after which a target that has left must get
        no requests.
    :param renewal_seconds: interval at which targets renew their entries.
    """

    def __init__(
        self, departure_seconds: float = 2.0, renewal_seconds: float = 1.2
    ) -> None:
        """Create an empty registry."""
        self._departures = TargetDepartures(renewal_seconds)
        self._grace_seconds = max(0, departure_seconds - _MAX_NOTICE_SECONDS)
        self._entries: dict[TargetId, TargetEntry] = {}
        self._lapsed_until_seconds: dict[TargetId, float] = {}
        # Starts of targets that are not used, whatever the list says.
        self._unusable: dict[TargetStart, None] = {}
        self._evacuated: frozenset[FailureDomain] = frozenset()
        self._ready_by_service: dict[ServiceId, tuple[TargetEntry, ...]] = {}

    def __len__(self) -> int:
        """Return the number of known targets."""
        return len(self._entries)

    def apply(
        self,
        listed: Iterable[TargetEntry],
        now_seconds: float,
        *,
        regained_seconds: float | None = None,
        unreadable: Collection[TargetId] = (),
    ) -> list[TargetEntry]:
        """Replace the entries by a complete list.

        :param regained_seconds: end of the last outage in which entries may
            have expired, None if there was none.
        :param unreadable: targets that are listed, but not as usable entries.
        :returns: new and changed entries. An entry that disappeared is
            returned with the state ``LEAVING``.
        """
        current = {entry.id: self._keep_leaving(entry) for entry in listed}
        self._note_listed(current.values())
        changed = list(filter(self._is_changed, current.values()))
        window_until = _window_until(regained_seconds)
        for target in current.keys() & self._lapsed_until_seconds.keys():
            self._lapsed_until_seconds.pop(target)
        # A list that is suddenly empty has lost its content.
        is_content_lost = not current and len(self._entries) > 1
        for entry in self._unlisted(current):
            if self._is_kept(entry, now_seconds, window_until):
                current[entry.id] = entry
                continue
            changed.append(replace(entry, state=TargetState.LEAVING))
            if not (is_content_lost or entry.id in unreadable):
                self._on_departed(entry, now_seconds)
            self._lapsed_until_seconds.pop(entry.id, None)
        self._entries = current
        self._rebuild_ready()
        return changed

    @property
    def lapsed(self) -> frozenset[TargetId]:
        """Return the targets that are kept for a grace period."""
        return frozenset(self._lapsed_until_seconds)

    def find(self, target: TargetId) -> TargetEntry | None:
        """Return the entry of a target, None for one that is not known."""
        return self._entries.get(target)

    def is_known(self, target: TargetId) -> bool:
        """Return whether a target is listed, or kept for a grace period."""
        return target in self._entries

    def expire(self, now_seconds: float) -> list[TargetEntry]:
        """Remove the targets whose grace period has ended.

        :returns: their entries with the state ``LEAVING``.
        """
        expired = [
            target
            for target, until in self._lapsed_until_seconds.items()
            if now_seconds >= until
        ]
        dropped = []
        for target in expired:
            self._lapsed_until_seconds.pop(target)
            entry = self._entries.pop(target)
            dropped.append(replace(entry, state=TargetState.LEAVING))
        if dropped:
            self._rebuild_ready()
        return dropped

    def readmit(self, now_seconds: float) -> list[TargetEntry]:
        """Use the targets whose entries are no late writes, as time shows.

        The list has to be up to date: the entry of a late write may have
        expired.

        :returns: their entries.
        """
        starts = self._departures.expire(now_seconds)
        readmitted = [
            entry for entry in self._entries.values() if entry.start in starts
        ]
        if readmitted:
            self._rebuild_ready()
        return readmitted

    def mark_replaced(self, target: TargetId) -> None:
        """Stop using a target whose address now belongs to another instance."""
        entry = self._entries.get(target)
        if entry is not None:
            self._exclude(entry.start)
            self._rebuild_ready()

    def mark_leaving(self, entry: TargetEntry) -> bool:
        """Stop using a target that says in an answer that it leaves.

        :param entry: of the target at the time when its request was sent.
        :returns: whether this was not known yet.
        """
        if entry.start in self._unusable:
            return False
        self._exclude(entry.start)
        self._rebuild_ready()
        return True

    def is_usable(self, entry: TargetEntry) -> bool:
        """Return whether this start of a target may get new requests.

        False if it said that it leaves, if another instance has its address,
        or if its entry may be a late write of a target that has left.
        """
        return not (
            entry.start in self._unusable or entry.start in self._departures
        )

    def may_have_left(self, entry: TargetEntry) -> bool:
        """Return whether an entry may be a late write."""
        return entry.start in self._departures

    def set_evacuated(self, domains: frozenset[FailureDomain]) -> None:
        """Use no targets of these failure domains, also of later entries."""
        if domains != self._evacuated:
            self._evacuated = domains
            self._rebuild_ready()

    def is_domain_in_use(self, domain: FailureDomain) -> bool:
        """Return whether a failure domain is not evacuated."""
        return domain not in self._evacuated

    def in_domain(self, domain: FailureDomain) -> list[TargetEntry]:
        """Return the known targets of a failure domain."""
        return [
            entry
            for entry in self._entries.values()
            if entry.failure_domain == domain
        ]

    @property
    def evacuated_count(self) -> int:
        """Return the number of targets that only an evacuation excludes."""
        return sum(map(self._is_only_evacuated, self._entries.values()))

    def is_evacuated(self, service: ServiceId) -> bool:
        """Return whether evacuations leave a service without targets."""
        return not self.ready(service) and any(
            entry.service == service and self._is_only_evacuated(entry)
            for entry in self._entries.values()
        )

    @property
    def unusable_count(self) -> int:
        """Return the number of targets that are listed as ready in vain."""
        return sum(
            entry.state is TargetState.READY and not self.is_usable(entry)
            for entry in self._entries.values()
        )

    def ready(self, service: ServiceId) -> tuple[TargetEntry, ...]:
        """Return the targets of a service that accept new requests.

        It is the same tuple object until one of them changes.
        """
        return self._ready_by_service.get(service, ())

    def _is_only_evacuated(self, entry: TargetEntry) -> bool:
        return (
            entry.failure_domain in self._evacuated
            and entry.state is TargetState.READY
            and self.is_usable(entry)
        )

    def listed(self, service: ServiceId) -> tuple[TargetEntry, ...]:
        """Return all known targets of a service, by id, also unusable ones."""
        return tuple(
            sorted(
                (
                    entry
                    for entry in self._entries.values()
                    if entry.service == service
                ),
                key=lambda entry: entry.id,
            )
        )

    def _is_kept(
        self, entry: TargetEntry, now_seconds: float, window_until: float
    ) -> bool:
        """Return whether a target is used though it is not listed."""
        lapsed_until = self._lapsed_until_seconds.get(entry.id)
        if lapsed_until is None:
            if entry.state is not TargetState.READY:
                return False
            if now_seconds >= window_until:
                return False
            lapsed_until = now_seconds + self._grace_seconds
            self._lapsed_until_seconds[entry.id] = lapsed_until
        return now_seconds < lapsed_until

    def _note_listed(self, listed: Iterable[TargetEntry]) -> None:
        for entry in listed:
            known = self._entries.get(entry.id)
            if known is None or known.row_version != entry.row_version:
                self._departures.on_listed(entry.start, entry.row_version)

    def _on_departed(self, entry: TargetEntry, now_seconds: float) -> None:
        if entry.state is TargetState.LEAVING:
            self._exclude(entry.start)
        elif entry.id not in self._lapsed_until_seconds:
            self._departures.on_departed(
                entry.start, entry.row_version, now_seconds
            )

    def _exclude(self, start: TargetStart) -> None:
        """Use a start no more; forget the oldest that is not listed."""
        self._unusable[start] = None
        if len(self._unusable) <= _MAX_UNUSABLE_COUNT:
            return
        listed = {entry.start for entry in self._entries.values()}
        forgotten = next(
            (one for one in self._unusable if one not in listed), None
        )
        if forgotten is not None:
            self._unusable.pop(forgotten)

    def _is_changed(self, entry: TargetEntry) -> bool:
        return self._entries.get(entry.id) != entry

    def _unlisted(self, listed: Container[TargetId]) -> list[TargetEntry]:
        return [
            entry
            for target, entry in self._entries.items()
            if target not in listed
        ]

    def _keep_leaving(self, entry: TargetEntry) -> TargetEntry:
        known = self._entries.get(entry.id)
        if known is None or known.started_ms != entry.started_ms:
            return entry
        if known.state is TargetState.LEAVING:
            return replace(entry, state=TargetState.LEAVING)
        return entry

    def _rebuild_ready(self) -> None:
        ready_by_service: dict[ServiceId, list[TargetEntry]] = {}
        for entry in self._entries.values():
            if (
                entry.state is TargetState.READY
                and entry.failure_domain not in self._evacuated
                and self.is_usable(entry)
            ):
                ready_by_service.setdefault(entry.service, []).append(entry)
        former = self._ready_by_service
        self._ready_by_service = {}
        for service, entries in ready_by_service.items():
            ready = tuple(sorted(entries, key=lambda one: one.id))
            if former.get(service) == ready:
                ready = former[service]
            self._ready_by_service[service] = ready


def _window_until(regained_seconds: float | None) -> float:
    """Return until when entries may disappear because of an outage."""
    if regained_seconds is None:
        return -math.inf
    return regained_seconds + _LAPSE_WINDOW_SECONDS
