"""Membership of the router fleet by gossip, after the SWIM protocol.

Routers probe each other in turn and attach member records to every frame.
A router that cannot be called is first suspect, so that it can refute the
suspicion with a higher heartbeat, and then dead. Dead members that are removed
leave tombstones, which keep old gossip from adding them again.
"""

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

_DEAD_RETENTION_SECONDS: Final = 600.0
# Router ids are reused, so this is far more than the number of ids that go
# away within a day.
_MAX_TOMBSTONES_COUNT: Final = 4096
# Dead and unreachable routers are probed in every fourth period only: often
# enough to find a healed partition within seconds.
_DEAD_PROBE_INTERVAL_TICKS: Final = 4
# A change is sent this factor times log2 of the member count.
_RETRANSMIT_FACTOR: Final = 3
# The first frame to a new router may hold this many times the usual records,
# so that a restarted router receives a large fleet within seconds.
_INITIAL_SYNC_FACTOR: Final = 4
# The own record takes a third of a short frame. A peer therefore gets it only
# in the first frames after a change, and then once per interval in case the
# replies that carried it were lost.
_OWN_RECORD_SENDS_COUNT: Final = 3
_OWN_RECORD_INTERVAL_TICKS: Final = 10

# Between records with the same heartbeat, the state with the higher value
# wins. SUSPECT is above LEAVING because a leaving router must be able to
# refute a suspicion.
_STATE_PRECEDENCE: Final[Mapping[MemberState, int]] = MappingProxyType(
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
    """An entry of the platform's list of entry hosts.

    :param peer_address: where other routers connect.
    :param leaving: whether the list names the host as leaving.
    """

    router: RouterId
    peer_address: str
    failure_domain: FailureDomain
    leaving: bool


@dataclass(frozen=True, slots=True)
class FrameOutcome:
    """Result of merging a received frame into the member list.

    :param accepted: whether the messages of the frame may be used. False for
        a frame with the id of this router or of an older incarnation of its
        sender. It must be replied to all the same, because the reply contains
        the newer incarnation.
    :param sender_is_new: whether this is the first frame from this
        incarnation of the sender, or the first one since it was dead.
    :param incarnation_changed: whether this router took a higher incarnation
        because a record named one.
    """

    accepted: bool
    sender_is_new: bool
    incarnation_changed: bool


@dataclass(slots=True)
class _Member:
    """State kept for another router.

    :param since_seconds: time at which the state was entered; for a suspect,
        time of the last contact if that was later.
    :param leaving: whether a record had the state LEAVING; stays set until
        the incarnation changes.
    :param call_failed: whether the last call failed and a call on a new
        connection is due.
    """

    record: MemberRecord
    since_seconds: float
    leaving: bool
    call_failed: bool = False
    contact_seconds: float | None = None

    @property
    def is_dead(self) -> bool:
        """Return whether the state is DEAD."""
        return self.record.state is MemberState.DEAD

    @property
    def is_usable(self) -> bool:
        """Return whether the router may coordinate targets."""
        return not (self.is_dead or self.leaving)


@dataclass(slots=True)
class _SentOwnRecord:
    """The version of the own record that was last sent to a peer.

    :param last_tick: tick of the first send, or of the last repetition.
    """

    record: MemberRecord
    last_tick: int
    sends_count: int = 1


class Membership:
    """Member list of the fleet at one router.

    :param settings: settings of the process.
    :param incarnation: wall clock in milliseconds at the start.
    :param rng: random generator for the probe order.
    """

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
    ) -> None:
        """Create a list with this router as the only member."""
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
        self._tombstones: dict[RouterId, MemberRecord] = {}
        self._listed: dict[RouterId, ListedRouter] = {}
        # Listed routers that are not members and failed a call, or were
        # removed as dead.
        self._unreachable: set[RouterId] = set()
        # Number of sends left per changed record, latest change last.
        self._remaining_sends: dict[RouterId, int] = {}
        self._outdated_senders: set[RouterId] = set()
        self._initial_sync_peers: set[RouterId] = set()
        self._sent_own_records: dict[RouterId, _SentOwnRecord] = {}
        self._probe_order = _ProbeOrder(rng)
        self._tick_count = 0
        self._last_tick_seconds: float | None = None
        self._resumed = False
        # Increases with each change of what live() and reachable() return.
        self.changes_count = 0

    def on_hosts(
        self, entries: Sequence[ListedRouter], now_seconds: float
    ) -> None:
        """Update the probe candidates and the leaving hosts from a host list.

        A router that is not dead keeps its entry when the list no longer
        names it. A leaving mark of the list ends only when a later list names
        the host without the mark.

        :param entries: all entries of the platform's list.
        :param now_seconds: monotonic time.
        """
        self._detect_resume(now_seconds)
        listed_routers = {entry.router for entry in entries}
        for router in self._listed.keys() - listed_routers:
            if not self.is_reachable(router):
                self._listed.pop(router)
                self._unreachable.discard(router)
        for entry in entries:
            known = self._listed.get(entry.router)
            if known is None or known.peer_address != entry.peer_address:
                self._unreachable.discard(entry.router)
            self._listed[entry.router] = entry
            if entry.router not in self._members:
                self._probe_order.add(entry.router)
        self._probe_order.remove(self._own.router)
        self.changes_count += 1

    def on_frame(self, frame: Frame, now_seconds: float) -> FrameOutcome:
        """Merge the records of a received frame.

        :param frame: a call or a reply from another router.
        :param now_seconds: monotonic time.
        :returns: whether the frame is valid, and what changed.
        """
        self._detect_resume(now_seconds)
        own_incarnation = self._own.incarnation
        accepted = self._is_current_incarnation(frame)
        if frame.receiver_incarnation != own_incarnation:
            self._sent_own_records.pop(frame.sender, None)
        is_new = False
        if accepted:
            for record in frame.records:
                self._merge(record, now_seconds)
            is_new = self._record_contact(frame.sender, now_seconds)
        return FrameOutcome(
            accepted=accepted and frame.sender != self._own.router,
            sender_is_new=is_new,
            incarnation_changed=own_incarnation != self._own.incarnation,
        )

    def on_reply(
        self, router: RouterId, frame: Frame, now_seconds: float
    ) -> FrameOutcome:
        """Merge the reply to a call.

        A reply from another sender counts as a failed call, because the
        address of the called router has been taken over.

        :param router: the router that was called.
        :param frame: the reply from its address.
        :param now_seconds: monotonic time.
        :returns: as for ``on_frame``.
        """
        if frame.sender != router:
            self.on_call_failed(router, now_seconds)
        return self.on_frame(frame, now_seconds)

    def on_call_failed(
        self, router: RouterId, now_seconds: float, *, refused: bool = False
    ) -> bool:
        """Process a failed call to a router.

        :param router: the router that was called.
        :param now_seconds: monotonic time.
        :param refused: whether the host refused the connection. Usually the
            router process has ended then, so the suspicion lasts only one
            period.
        :returns: whether to call the router again at once on a new
            connection; it becomes suspect only if that call fails too.
        """
        self._detect_resume(now_seconds)
        self._sent_own_records.pop(router, None)
        member = self._members.get(router)
        if member is None:
            if router in self._listed:
                self._unreachable.add(router)
            return False
        if member.record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            return False
        if member.call_failed:
            self._set_state(member, MemberState.SUSPECT, now_seconds)
            if refused:
                exchange = self._exchange
                member.since_seconds -= max(
                    0, exchange.dead_after_seconds - exchange.period_seconds
                )
            return False
        member.call_failed = True
        return True

    def on_tick(self, now_seconds: float) -> list[RouterId]:
        """Advance the member states and choose the peers to probe now.

        :param now_seconds: monotonic time.
        :returns: at most ``probe_count`` routers.
        """
        self._detect_resume(now_seconds)
        self._last_tick_seconds = now_seconds
        self._tick_count += 1
        self._expire_states(now_seconds)
        chosen = dict.fromkeys(
            self._choose_unreachable()
            + [
                peer
                for peer, member in self._members.items()
                if member.call_failed
            ]
        )
        limit_count = self._exchange.probe_count
        for router in self._probe_order.take(
            self._probe_candidates(), limit_count
        ):
            if len(chosen) < limit_count:
                chosen[router] = None
            elif router not in chosen:
                self._probe_order.put_back(router)
        return list(chosen)[:limit_count]

    def records_to_send(
        self, receiver: RouterId | None = None
    ) -> tuple[MemberRecord, ...]:
        """Return the records for one frame and count them as sent.

        The own record comes first, unless the receiver has it. It is followed
        by the record of the receiver if the receiver must refute or replace
        it, and by the latest changes.

        :param receiver: the router the frame goes to, None when not known.
        :returns: up to ``record_count`` records; the first frame to a new
            router also has a sample of up to four times as many members.
        """
        chosen: dict[RouterId, MemberRecord] = {}
        if receiver is None or self._should_send_own_record(receiver):
            chosen[self._own.router] = self._own
        if receiver is not None:
            chosen.update(self._records_about(receiver))
        limit_count = self._exchange.record_count
        for router in list(reversed(self._remaining_sends)):
            if len(chosen) >= limit_count:
                break
            chosen[router] = self._members[router].record
            self._count_transmission(router)
        if receiver is not None and receiver in self._initial_sync_peers:
            self._initial_sync_peers.discard(receiver)
            chosen.update(self._initial_sync_records(limit_count))
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
        """Return the routers that may coordinate targets.

        This router and suspects are included, leaving and dead routers are
        not. When every router is leaving, the leaving routers are returned,
        because their queued requests still need coordinators.
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
        """Return the routers that are not dead, this one included."""
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
        """Return whether the host list marks the host as leaving."""
        entry = self._listed.get(router)
        return entry is not None and entry.leaving

    def listed(self) -> frozenset[RouterId]:
        """Return the routers of the platform's host list."""
        return frozenset(self._listed)

    def is_leaving(self) -> bool:
        """Return whether this router is leaving."""
        return self._own.state is MemberState.LEAVING

    def contact_seconds(self, router: RouterId) -> float | None:
        """Return the time of the last frame from a router, None if never."""
        member = self._members.get(router)
        return None if member is None else member.contact_seconds

    def address_of(self, router: RouterId) -> str | None:
        """Return the peer address of a router, None when not known.

        The address of a dead router comes from the host list, if listed,
        because it may have moved.
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
        """Set the configuration version in the own record."""
        if self._own.config_version != version:
            self._own = replace(
                self._own,
                config_version=version,
                heartbeat=self._own.heartbeat + 1,
            )

    def pop_resumed(self) -> bool:
        """Return whether a gap between ticks was detected; clear the flag."""
        resumed = self._resumed
        self._resumed = False
        return resumed

    def dump(self) -> dict[str, object]:
        """Return the state for a debug dump; times are monotonic."""
        return {
            'own': _record_to_dict(self._own),
            'last_tick_seconds': self._last_tick_seconds,
            'members': [
                _record_to_dict(member.record)
                | {
                    'leaving': member.leaving,
                    'since_seconds': member.since_seconds,
                    'contact_seconds': member.contact_seconds,
                    'call_failed': member.call_failed,
                }
                for _router, member in sorted(self._members.items())
            ],
            'listed': sorted(self._listed),
            'unreached': sorted(self._unreachable),
            'forgotten_count': len(self._tombstones),
        }

    def _detect_resume(self, now_seconds: float) -> None:
        last = self._last_tick_seconds
        if last is None or now_seconds - last <= (
            self._exchange.resume_gap_seconds
        ):
            return
        # This process was paused: missing replies in that time do not mean
        # that a peer has failed.
        self._resumed = True
        self._last_tick_seconds = now_seconds
        for member in self._members.values():
            member.since_seconds = now_seconds
            member.call_failed = False

    def _is_current_incarnation(self, frame: Frame) -> bool:
        sender = frame.sender
        member = self._members.get(sender)
        known = (
            self._tombstones.get(sender) if member is None else member.record
        )
        if known is None or frame.incarnation >= known.incarnation:
            self._outdated_senders.discard(sender)
            return True
        self._outdated_senders.add(sender)
        return False

    def _should_send_own_record(self, receiver: RouterId) -> bool:
        """Return whether to send the own record, and count it as sent."""
        sent = self._sent_own_records.get(receiver)
        if sent is None or sent.record != self._own:
            self._sent_own_records[receiver] = _SentOwnRecord(
                self._own, self._tick_count
            )
            return True
        if self._tick_count - sent.last_tick >= _OWN_RECORD_INTERVAL_TICKS:
            sent.last_tick = self._tick_count
            return True
        sent.sends_count += 1
        return sent.sends_count <= _OWN_RECORD_SENDS_COUNT

    def _record_contact(self, sender: RouterId, now_seconds: float) -> bool:
        """Record a frame of a router; return whether it is the first one."""
        member = self._members.get(sender)
        if member is None or member.is_dead:
            return False
        is_first = member.contact_seconds is None
        member.contact_seconds = now_seconds
        member.call_failed = False
        if member.record.state is MemberState.SUSPECT:
            # The next frame to it carries the suspicion, which it refutes
            # with a higher heartbeat.
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
        if self._is_from_other_process(record):
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

    def _is_from_other_process(self, record: MemberRecord) -> bool:
        # Only this process raises its heartbeat and sets its leaving state,
        # so a record ahead of the own one comes from another process with the
        # same router id, such as the one before a restart.
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
        tombstone = self._tombstones.get(record.router)
        if tombstone and _precedence(record)[:2] <= _precedence(tombstone)[:2]:
            return
        if record.state is MemberState.DEAD:
            # Not added as a member: each router that receives the record would
            # gossip it again, and it would never be removed from the fleet.
            self._add_tombstone(record)
            return
        self._tombstones.pop(record.router, None)
        self._members[record.router] = _Member(
            record, now_seconds, record.state is MemberState.LEAVING
        )
        self._probe_order.add(record.router)
        self._on_joined(record.router)

    def _merge_known(
        self, member: _Member, record: MemberRecord, now_seconds: float
    ) -> None:
        known = member.record
        if record.state is MemberState.DEAD and not member.is_dead:
            # After a partition both sides report the routers of the other one
            # as dead. As suspects they have time to refute that; a router
            # that did stop becomes dead a little later.
            record = replace(record, state=MemberState.SUSPECT)
        leaves = record.state is MemberState.LEAVING
        if record.incarnation == known.incarnation:
            member.leaving = member.leaving or leaves
            self.changes_count += int(leaves)
        if _precedence(record) <= _precedence(known):
            return
        is_new = member.is_dead or record.incarnation > known.incarnation
        if record.incarnation > known.incarnation:
            member.leaving = leaves
        member.call_failed = False
        member.record = record
        member.since_seconds = now_seconds
        self._schedule_gossip(record.router)
        if is_new and not member.is_dead:
            member.contact_seconds = None
            self._on_joined(record.router)

    def _on_joined(self, router: RouterId) -> None:
        self._initial_sync_peers.add(router)
        self._unreachable.discard(router)
        self._probe_order.add(router)
        self._schedule_gossip(router)

    def _schedule_gossip(self, router: RouterId) -> None:
        self.changes_count += 1
        self._remaining_sends.pop(router, None)
        scale = (len(self._members) + 1).bit_length()
        self._remaining_sends[router] = _RETRANSMIT_FACTOR * scale

    def _count_transmission(self, router: RouterId) -> None:
        self._remaining_sends[router] -= 1
        if self._remaining_sends[router] == 0:
            self._remaining_sends.pop(router)

    def _set_state(
        self, member: _Member, state: MemberState, now_seconds: float
    ) -> None:
        member.record = replace(member.record, state=state)
        member.since_seconds = now_seconds
        member.call_failed = False
        self._schedule_gossip(member.record.router)

    def _expire_states(self, now_seconds: float) -> None:
        for member in list(self._members.values()):
            waited_seconds = now_seconds - member.since_seconds
            if member.record.state is MemberState.SUSPECT:
                if waited_seconds >= self._exchange.dead_after_seconds:
                    self._set_state(member, MemberState.DEAD, now_seconds)
            elif member.is_dead and waited_seconds >= _DEAD_RETENTION_SECONDS:
                self._replace_by_tombstone(member)

    def _replace_by_tombstone(self, member: _Member) -> None:
        self.changes_count += 1
        router = member.record.router
        self._members.pop(router)
        self._remaining_sends.pop(router, None)
        self._initial_sync_peers.discard(router)
        self._sent_own_records.pop(router, None)
        self._add_tombstone(member.record)
        if router in self._listed:
            self._unreachable.add(router)

    def _add_tombstone(self, record: MemberRecord) -> None:
        self._tombstones.pop(record.router, None)
        self._tombstones[record.router] = record
        if len(self._tombstones) > _MAX_TOMBSTONES_COUNT:
            self._tombstones.pop(next(iter(self._tombstones)))

    def _probe_candidates(self) -> set[RouterId]:
        """Return the routers that are probed in turn.

        These are the members that are not dead and the listed routers, without
        the unreachable ones.
        """
        known = {
            router
            for router, member in self._members.items()
            if not member.is_dead
        }
        candidates = self._listed.keys() - self._members.keys()
        own = {self._own.router}
        return (known | candidates) - self._unreachable - own

    def _choose_unreachable(self) -> list[RouterId]:
        if self._tick_count % _DEAD_PROBE_INTERVAL_TICKS:
            return []
        dead = [
            peer for peer, member in self._members.items() if member.is_dead
        ]
        unreachable = sorted(
            {*dead, *(self._unreachable & self._listed.keys())}
        )
        return [self._rng.choice(unreachable)] if unreachable else []

    def _records_about(
        self, receiver: RouterId
    ) -> Iterator[tuple[RouterId, MemberRecord]]:
        member = self._members.get(receiver)
        record = self._tombstones.get(receiver)
        if member is not None:
            record = member.record
        if record is None:
            return
        if receiver in self._outdated_senders or record.state in {
            MemberState.SUSPECT,
            MemberState.DEAD,
        }:
            yield receiver, record

    def _initial_sync_records(
        self, limit_count: int
    ) -> Iterator[tuple[RouterId, MemberRecord]]:
        count = min(len(self._members), _INITIAL_SYNC_FACTOR * limit_count)
        for router in self._rng.sample(list(self._members), count):
            yield router, self._members[router].record


class _ProbeOrder:
    """Round-robin order in which routers are probed, shuffled per round.

    :param rng: random generator for the shuffles.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queue: list[RouterId] = []

    def add(self, router: RouterId) -> None:
        """Insert a new router at a random place of the current round."""
        if router not in self._queue:
            self._queue.insert(self._rng.randint(0, len(self._queue)), router)

    def remove(self, router: RouterId) -> None:
        """Remove a router from the current round."""
        if router in self._queue:
            self._queue.remove(router)

    def put_back(self, router: RouterId) -> None:
        """Return a taken router to the front of the round."""
        self._queue.append(router)

    def take(
        self, candidates: set[RouterId], limit_count: int
    ) -> list[RouterId]:
        """Take the next routers, each at most once."""
        taken: dict[RouterId, None] = {}
        while len(taken) < min(limit_count, len(candidates)):
            if not self._queue:
                self._queue = sorted(candidates)
                self._rng.shuffle(self._queue)
            router = self._queue.pop()
            if router in candidates:
                taken[router] = None
        return list(taken)


def _precedence(record: MemberRecord) -> _Precedence:
    return (
        record.incarnation,
        record.heartbeat,
        _STATE_PRECEDENCE[record.state],
    )


def _record_to_dict(record: MemberRecord) -> dict[str, object]:
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
