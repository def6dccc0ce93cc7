"""SWIM-like member list of the routers."""

import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final

from dotterelhatch.core.messages import Frame, MemberRecord, MemberState
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    Incarnation,
    RouterId,
)
from dotterelhatch.settings import RouterSettings

__all__ = ('FrameOutcome', 'ListedRouter', 'Membership')

_FORGET_DEAD_SECONDS: Final = 600.0
# Records of forgotten routers that still stop old gossip; ids are reused, so
# the limit is far above the number of routers that go away within a day.
_FORGOTTEN_LIMIT_COUNT: Final = 4096
# Dead and never reached routers are probed in every fourth period only: often
# enough to find a healed partition within seconds.
_DEAD_PROBE_TICKS: Final = 4
# Transmissions of a change are this factor times log2 of the members.
_RETRANSMIT_FACTOR: Final = 3
# The first frame to a router that is new may hold this many times the usual
# records, so that a restarted router learns a large fleet within seconds.
_INTRODUCTION_FACTOR: Final = 4
# The own record takes a third of a short frame, so a peer gets it with a few
# frames after a change and then once in so many periods, for lost answers.
_OWN_RECORD_COUNT: Final = 3
_OWN_RECORD_TICKS: Final = 10

# The worse state wins between records of one heartbeat. Suspicion is worse
# than leaving because a leaving router must be able to refute it.
_RANKS: Final[Mapping[MemberState, int]] = MappingProxyType(
    {
        MemberState.LIVE: 0,
        MemberState.LEAVING: 1,
        MemberState.SUSPECT: 2,
        MemberState.DEAD: 3,
    }
)

_Precedence = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class ListedRouter:
    """An entry host of the platform's host list.

    :param peer_address: where other routers connect.
    :param leaving: whether the list names the host as leaving.
    """

    router: RouterId
    peer_address: str
    failure_domain: FailureDomain
    leaving: bool


@dataclass(frozen=True, slots=True)
class FrameOutcome:
    """What a received frame meant for the member list.

    :param accepted: False when the frame comes from an older incarnation of
        its sender; its messages must not be used, but it must be answered
        because the answer tells the sender about the newer incarnation.
    :param sender_is_new: the first frame of this incarnation of the sender,
        or the first one since it was dead.
    :param incarnation_changed: this router took a higher incarnation.
    """

    accepted: bool
    sender_is_new: bool
    incarnation_changed: bool


@dataclass(slots=True)
class _Member:
    """What is known of another router.

    :param since_seconds: when the state was entered; for a suspect, when it
        was last in contact.
    :param leaving: sticky within an incarnation.
    :param failed: the last call failed and a fresh connection is tried.
    """

    record: MemberRecord
    since_seconds: float
    leaving: bool
    failed: bool = False
    contact_seconds: float | None = None

    @property
    def is_dead(self) -> bool:
        """Return whether the router is dead for placement."""
        return self.record.state is MemberState.DEAD

    @property
    def is_usable(self) -> bool:
        """Return whether the router can be a home."""
        return not (self.is_dead or self.leaving)


@dataclass(slots=True)
class _Told:
    """The own record as a peer was told of it."""

    record: MemberRecord
    tick: int
    count: int = 1


class Membership:
    """Member list of one router.

    :param settings: settings of the process.
    :param incarnation: wall clock in milliseconds at the start.
    :param rng: source of the probe order.
    """

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> None:
        """Start with this router as the only member."""
        self._exchange = settings.exchange
        self._rng = rng
        self._own = MemberRecord(
            router=settings.router_id,
            incarnation=incarnation,
            heartbeat=0,
            state=MemberState.LIVE,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
            config_version=ConfigVersion(0),
        )
        self._members: dict[RouterId, _Member] = {}
        self._forgotten: dict[RouterId, MemberRecord] = {}
        self._listed: dict[RouterId, ListedRouter] = {}
        self._unreached: set[RouterId] = set()
        # Transmissions left per changed record, latest change last.
        self._pending: dict[RouterId, int] = {}
        self._outdated: set[RouterId] = set()
        self._introductions: set[RouterId] = set()
        self._told: dict[RouterId, _Told] = {}
        self._rotation = _Rotation(rng)
        self._tick_count = 0
        self._last_tick_seconds: float | None = None
        self._resumed = False
        # Grows with each change of what live() and reachable() return.
        self.changes_count = 0

    def on_hosts(
        self, entries: Sequence[ListedRouter], now_seconds: float
    ) -> None:
        """Add candidates and take over which hosts are leaving.

        A router that is not dead keeps its entry when it is no longer listed;
        only a listing as live ends the listing as leaving.

        :param entries: the entry hosts of the platform's list.
        :param now_seconds: monotonic time.
        """
        self._detect_resume(now_seconds)
        names = {entry.router for entry in entries}
        for router in self._listed.keys() - names:
            if not self.is_reachable(router):
                self._listed.pop(router)
                self._unreached.discard(router)
        for entry in entries:
            known = self._listed.get(entry.router)
            if known is None or known.peer_address != entry.peer_address:
                self._unreached.discard(entry.router)
            self._listed[entry.router] = entry
            if entry.router not in self._members:
                self._rotation.add(entry.router)
        self._rotation.remove(self._own.router)
        self.changes_count += 1

    def on_frame(self, frame: Frame, now_seconds: float) -> FrameOutcome:
        """Merge the records of a received frame.

        :param frame: a call or an answer of another router.
        :param now_seconds: monotonic time.
        :returns: whether the frame is valid, and what changed.
        """
        self._detect_resume(now_seconds)
        own_incarnation = self._own.incarnation
        accepted = self._is_current(frame)
        if frame.receiver_incarnation != own_incarnation:
            self._told.pop(frame.sender, None)
        is_new = False
        if accepted:
            for record in frame.records:
                self._merge(record, now_seconds)
            is_new = self._note_contact(frame.sender, now_seconds)
        return FrameOutcome(
            accepted=accepted and frame.sender != self._own.router,
            sender_is_new=is_new,
            incarnation_changed=own_incarnation != self._own.incarnation,
        )

    def on_answer(
        self, router: RouterId, frame: Frame, now_seconds: float
    ) -> FrameOutcome:
        """Merge the answer to a call; another sender means a failed call.

        :param router: the router that was called.
        :param frame: the answer from its address.
        :param now_seconds: monotonic time.
        :returns: as ``on_frame``.
        """
        if frame.sender != router:
            self.on_call_failed(router, now_seconds)
        return self.on_frame(frame, now_seconds)

    def on_call_failed(
        self, router: RouterId, now_seconds: float, *, refused: bool = False
    ) -> bool:
        """Note a failed call to a router.

        :param router: the router that was called.
        :param now_seconds: monotonic time.
        :param refused: its host answered that nothing listens there. A router
            that has ended is the usual reason, so the suspicion then lasts
            one period.
        :returns: whether to call it again at once on a fresh connection; it
            is suspect only when that call fails too.
        """
        self._detect_resume(now_seconds)
        self._told.pop(router, None)
        member = self._members.get(router)
        if member is None:
            if router in self._listed:
                self._unreached.add(router)
            return False
        if member.record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            return False
        if member.failed:
            self._set_state(member, MemberState.SUSPECT, now_seconds)
            if refused:
                exchange = self._exchange
                member.since_seconds -= max(
                    0, exchange.dead_after_seconds - exchange.period_seconds
                )
            return False
        member.failed = True
        return True

    def on_tick(self, now_seconds: float) -> list[RouterId]:
        """Advance the states and choose the peers to probe in this period.

        :param now_seconds: monotonic time.
        :returns: at most ``probe_count`` routers.
        """
        self._detect_resume(now_seconds)
        self._last_tick_seconds = now_seconds
        self._tick_count += 1
        self._expire(now_seconds)
        chosen = dict.fromkeys(
            self._dead_probes()
            + [name for name, one in self._members.items() if one.failed]
        )
        limit_count = self._exchange.probe_count
        for router in self._rotation.take(self._probed(), limit_count):
            if len(chosen) < limit_count:
                chosen[router] = None
            elif router not in chosen:
                self._rotation.put_back(router)
        return list(chosen)[:limit_count]

    def records_to_send(
        self, receiver: RouterId | None = None
    ) -> tuple[MemberRecord, ...]:
        """Return the records for one frame.

        The own record comes first unless the receiver has it, then what the
        receiver must know about itself, then the latest changes.

        :param receiver: where the frame goes, None when not known.
        :returns: at most ``record_count`` records; four times as many in the
            first frame to a router that is new.
        """
        chosen: dict[RouterId, MemberRecord] = {}
        if receiver is None or self._is_own_due(receiver):
            chosen[self._own.router] = self._own
        if receiver is not None:
            chosen.update(self._reports_about(receiver))
        limit_count = self._exchange.record_count
        for router in list(reversed(self._pending)):
            if len(chosen) >= limit_count:
                break
            chosen[router] = self._members[router].record
            self._count_transmission(router)
        if receiver is not None and receiver in self._introductions:
            self._introductions.discard(receiver)
            chosen.update(self._introduction(limit_count))
        return tuple(chosen.values())

    def leave(self) -> None:
        """Enter the leaving state, which lasts until the process ends."""
        if self._own.state is not MemberState.LEAVING:
            self.changes_count += 1
            self._own = replace(
                self._own,
                state=MemberState.LEAVING,
                heartbeat=self._own.heartbeat + 1,
            )

    def live(self) -> frozenset[RouterId]:
        """Return the routers that may be homes, with this one.

        Suspects count until they are dead. When every router is leaving,
        leaving routers are returned, because their waiting requests still
        need homes.
        """
        usable = {
            router
            for router, member in self._members.items()
            if member.is_usable and not self.is_listed_leaving(router)
        }
        own = self._own.router
        leaves = self._own.state is MemberState.LEAVING
        if not (leaves or self.is_listed_leaving(own)):
            usable.add(own)
        return frozenset(usable or self.reachable())

    def reachable(self) -> frozenset[RouterId]:
        """Return the routers that are not dead, with this one."""
        others = {
            router
            for router, member in self._members.items()
            if not member.is_dead
        }
        return frozenset(others | {self._own.router})

    def is_reachable(self, router: RouterId) -> bool:
        """Return whether a router is known and not dead."""
        member = self._members.get(router)
        if member is None:
            return router == self._own.router
        return not member.is_dead

    def is_listed_leaving(self, router: RouterId) -> bool:
        """Return whether the host list names the host as leaving."""
        entry = self._listed.get(router)
        return entry is not None and entry.leaving

    def listed(self) -> frozenset[RouterId]:
        """Return the entry hosts of the platform's list."""
        return frozenset(self._listed)

    def is_leaving(self) -> bool:
        """Return whether this router is leaving."""
        return self._own.state is MemberState.LEAVING

    def contact_seconds(self, router: RouterId) -> float | None:
        """Return the time of the last contact with a router."""
        member = self._members.get(router)
        return None if member is None else member.contact_seconds

    def address_of(self, router: RouterId) -> str | None:
        """Return the peer address of a router, None when not known.

        A dead router is looked for where the host list has it now.
        """
        if router == self._own.router:
            return self._own.peer_address
        member = self._members.get(router)
        entry = self._listed.get(router)
        if member is not None and (entry is None or not member.is_dead):
            return member.record.peer_address
        return None if entry is None else entry.peer_address

    def incarnation_of(self, router: RouterId) -> Incarnation:
        """Return the known incarnation of a router, 0 when not known."""
        if router == self._own.router:
            return self._own.incarnation
        member = self._members.get(router)
        return Incarnation(0) if member is None else member.record.incarnation

    def records(self) -> tuple[MemberRecord, ...]:
        """Return all known records, the own one first."""
        others = (member.record for member in self._members.values())
        return (self._own, *others)

    def own_record(self) -> MemberRecord:
        """Return the record of this router."""
        return self._own

    def set_config_version(self, version: ConfigVersion) -> None:
        """Announce the configuration version in force at this router."""
        if self._own.config_version != version:
            self._own = replace(
                self._own,
                config_version=version,
                heartbeat=self._own.heartbeat + 1,
            )

    def pop_resumed(self) -> bool:
        """Return once whether a long gap between ticks was seen."""
        resumed = self._resumed
        self._resumed = False
        return resumed

    def dump(self) -> dict[str, object]:
        """Return the state for people to read, times as given."""
        return {
            'own': _describe(self._own),
            'last_tick_seconds': self._last_tick_seconds,
            'members': [
                _describe(member.record)
                | {
                    'leaving': member.leaving,
                    'since_seconds': member.since_seconds,
                    'contact_seconds': member.contact_seconds,
                    'call_failed': member.failed,
                }
                for _router, member in sorted(self._members.items())
            ],
            'listed': sorted(self._listed),
            'unreached': sorted(self._unreached),
            'forgotten_count': len(self._forgotten),
        }

    def _detect_resume(self, now_seconds: float) -> None:
        last = self._last_tick_seconds
        if last is None or now_seconds - last <= (
            self._exchange.resume_gap_seconds
        ):
            return
        # The silence during the pause says nothing about the peers.
        self._resumed = True
        self._last_tick_seconds = now_seconds
        for member in self._members.values():
            member.since_seconds = now_seconds
            member.failed = False

    def _is_current(self, frame: Frame) -> bool:
        sender = frame.sender
        member = self._members.get(sender)
        known = self._forgotten.get(sender) if member is None else member.record
        if known is None or frame.incarnation >= known.incarnation:
            self._outdated.discard(sender)
            return True
        self._outdated.add(sender)
        return False

    def _is_own_due(self, receiver: RouterId) -> bool:
        """Return whether to send the own record, and note that it was."""
        told = self._told.get(receiver)
        if told is None or told.record != self._own:
            self._told[receiver] = _Told(self._own, self._tick_count)
            return True
        if self._tick_count - told.tick >= _OWN_RECORD_TICKS:
            told.tick = self._tick_count
            return True
        told.count += 1
        return told.count <= _OWN_RECORD_COUNT

    def _note_contact(self, sender: RouterId, now_seconds: float) -> bool:
        """Note a frame of a router and return whether it is the first."""
        member = self._members.get(sender)
        if member is None or member.is_dead:
            return False
        is_first = member.contact_seconds is None
        member.contact_seconds = now_seconds
        member.failed = False
        if member.record.state is MemberState.SUSPECT:
            # It is told of the suspicion and refutes it by its heartbeat.
            member.since_seconds = now_seconds
        return is_first

    def _merge(self, record: MemberRecord, now_seconds: float) -> None:
        member = self._members.get(record.router)
        if record.router == self._own.router:
            self._merge_own(record)
        elif member is None:
            self._merge_unknown(record, now_seconds)
        else:
            self._merge_known(member, record, now_seconds)

    def _merge_own(self, record: MemberRecord) -> None:
        own = self._own
        if record.incarnation < own.incarnation:
            return
        if self._is_other_lifetime(record):
            self._own = replace(
                own,
                incarnation=Incarnation(record.incarnation + 1),
                heartbeat=0,
            )
        elif record.heartbeat == own.heartbeat and record.state in {
            MemberState.SUSPECT,
            MemberState.DEAD,
        }:
            self._own = replace(own, heartbeat=own.heartbeat + 1)

    def _is_other_lifetime(self, record: MemberRecord) -> bool:
        # Only this router raises its heartbeat and leaves, so a record ahead
        # of it was made by another lifetime of the same router.
        own = self._own
        if record.incarnation > own.incarnation:
            return True
        if record.heartbeat > own.heartbeat:
            return True
        return (
            record.state is MemberState.LEAVING
            and own.state is not MemberState.LEAVING
        )

    def _merge_unknown(self, record: MemberRecord, now_seconds: float) -> None:
        forgotten = self._forgotten.get(record.router)
        if forgotten and _precedence(record)[:2] <= _precedence(forgotten)[:2]:
            return
        if record.state is MemberState.DEAD:
            # Not stored as a member: it would otherwise be passed from new
            # router to new router and never be forgotten.
            self._remember_forgotten(record)
            return
        self._forgotten.pop(record.router, None)
        self._members[record.router] = _Member(
            record, now_seconds, record.state is MemberState.LEAVING
        )
        self._rotation.add(record.router)
        self._note_return(record.router)

    def _merge_known(
        self, member: _Member, record: MemberRecord, now_seconds: float
    ) -> None:
        held = member.record
        if record.state is MemberState.DEAD and not member.is_dead:
            # After a partition both sides report each other's routers dead.
            # Suspicion gives them the time to refute it, while a router that
            # did stop is only suspect for longer.
            record = replace(record, state=MemberState.SUSPECT)
        leaves = record.state is MemberState.LEAVING
        if record.incarnation == held.incarnation:
            member.leaving = member.leaving or leaves
            self.changes_count += int(leaves)
        if _precedence(record) <= _precedence(held):
            return
        is_new = member.is_dead or record.incarnation > held.incarnation
        if record.incarnation > held.incarnation:
            member.leaving = leaves
        member.failed = False
        member.record = record
        member.since_seconds = now_seconds
        self._note_change(record.router)
        if is_new and not member.is_dead:
            member.contact_seconds = None
            self._note_return(record.router)

    def _note_return(self, router: RouterId) -> None:
        self._introductions.add(router)
        self._unreached.discard(router)
        self._rotation.add(router)
        self._note_change(router)

    def _note_change(self, router: RouterId) -> None:
        self.changes_count += 1
        self._pending.pop(router, None)
        scale = (len(self._members) + 1).bit_length()
        self._pending[router] = _RETRANSMIT_FACTOR * scale

    def _count_transmission(self, router: RouterId) -> None:
        self._pending[router] -= 1
        if self._pending[router] == 0:
            self._pending.pop(router)

    def _set_state(
        self, member: _Member, state: MemberState, now_seconds: float
    ) -> None:
        member.record = replace(member.record, state=state)
        member.since_seconds = now_seconds
        member.failed = False
        self._note_change(member.record.router)

    def _expire(self, now_seconds: float) -> None:
        for member in list(self._members.values()):
            waited_seconds = now_seconds - member.since_seconds
            if member.record.state is MemberState.SUSPECT:
                if waited_seconds >= self._exchange.dead_after_seconds:
                    self._set_state(member, MemberState.DEAD, now_seconds)
            elif member.is_dead and waited_seconds >= _FORGET_DEAD_SECONDS:
                self._forget(member)

    def _forget(self, member: _Member) -> None:
        self.changes_count += 1
        router = member.record.router
        self._members.pop(router)
        self._pending.pop(router, None)
        self._introductions.discard(router)
        self._told.pop(router, None)
        self._remember_forgotten(member.record)
        if router in self._listed:
            self._unreached.add(router)

    def _remember_forgotten(self, record: MemberRecord) -> None:
        self._forgotten.pop(record.router, None)
        self._forgotten[record.router] = record
        if len(self._forgotten) > _FORGOTTEN_LIMIT_COUNT:
            self._forgotten.pop(next(iter(self._forgotten)))

    def _probed(self) -> set[RouterId]:
        """Return the routers that are probed in turn."""
        known = {
            router
            for router, member in self._members.items()
            if not member.is_dead
        }
        candidates = self._listed.keys() - self._members.keys()
        own = {self._own.router}
        return (known | candidates) - self._unreached - own

    def _dead_probes(self) -> list[RouterId]:
        if self._tick_count % _DEAD_PROBE_TICKS:
            return []
        dead = [name for name, one in self._members.items() if one.is_dead]
        lost = sorted({*dead, *(self._unreached & self._listed.keys())})
        return [self._rng.choice(lost)] if lost else []

    def _reports_about(
        self, receiver: RouterId
    ) -> Iterator[tuple[RouterId, MemberRecord]]:
        member = self._members.get(receiver)
        record = self._forgotten.get(receiver)
        if member is not None:
            record = member.record
        if record is None:
            return
        if receiver in self._outdated or record.state in {
            MemberState.SUSPECT,
            MemberState.DEAD,
        }:
            yield receiver, record

    def _introduction(
        self, limit_count: int
    ) -> Iterator[tuple[RouterId, MemberRecord]]:
        count = min(len(self._members), _INTRODUCTION_FACTOR * limit_count)
        for router in self._rng.sample(list(self._members), count):
            yield router, self._members[router].record


class _Rotation:
    """Shuffled round-robin order of the probed routers.

    :param rng: source of the order.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[RouterId] = []

    def add(self, router: RouterId) -> None:
        """Insert a new router at a random place of the current round."""
        if router not in self._order:
            self._order.insert(self._rng.randint(0, len(self._order)), router)

    def remove(self, router: RouterId) -> None:
        """Remove a router from the current round."""
        if router in self._order:
            self._order.remove(router)

    def put_back(self, router: RouterId) -> None:
        """Make a router the next one again."""
        self._order.append(router)

    def take(self, probed: set[RouterId], limit_count: int) -> list[RouterId]:
        """Take the next routers, each at most once."""
        taken: dict[RouterId, None] = {}
        while len(taken) < min(limit_count, len(probed)):
            if not self._order:
                self._order = sorted(probed)
                self._rng.shuffle(self._order)
            router = self._order.pop()
            if router in probed:
                taken[router] = None
        return list(taken)


def _precedence(record: MemberRecord) -> _Precedence:
    return (record.incarnation, record.heartbeat, _RANKS[record.state])


def _describe(record: MemberRecord) -> dict[str, object]:
    return {
        'router': record.router,
        'incarnation': record.incarnation,
        'heartbeat': record.heartbeat,
        'state': record.state.name.lower(),
        'failure_domain': record.failure_domain,
        'peer_address': record.peer_address,
        'caller_address': record.caller_address,
        'config_version': record.config_version,
    }
