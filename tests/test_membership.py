"""Membership: single rules, and a simulated fleet under faults."""

import random
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from dotterelhatch.core.membership import ListedRouter, Membership
from dotterelhatch.core.messages import Frame, MemberRecord, MemberState
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    Incarnation,
    RouterId,
)
from tests.member_fleet import MemberFleet, router_settings

A, B, C = RouterId('a'), RouterId('b'), RouterId('c')
NAMES = 'abcde'
# A stopped router is probed within one period and is dead three seconds later;
# a tick may come up to one period late.
STOP_PERIODS = 5
# After the last fault: three seconds of suspicion, and one probe of a dead
# router in every fourth period, which must reach each of up to four routers.
SETTLE_PERIODS = 60


def _membership(name: str = 'a') -> Membership:
    return Membership(router_settings(name), Incarnation(100), random.Random(0))


def _record(
    router: RouterId,
    state: MemberState = MemberState.LIVE,
    incarnation: int = 100,
    heartbeat: int = 0,
) -> MemberRecord:
    return MemberRecord(
        router=router,
        incarnation=Incarnation(incarnation),
        heartbeat=heartbeat,
        state=state,
        failure_domain=FailureDomain('konya'),
        peer_address='127.0.0.1:9000',
        caller_address='127.0.0.1:9001',
        config_version=ConfigVersion(0),
    )


def _frame(*records: MemberRecord) -> Frame:
    """Return a frame sent by the router of the first record."""
    return Frame(
        sender=records[0].router,
        incarnation=records[0].incarnation,
        receiver_incarnation=Incarnation(0),
        sequence=0,
        config_version=ConfigVersion(0),
        records=records,
        messages=(),
    )


def test_new_connection_is_tried_before_suspicion() -> None:
    """Guards against suspicion after a single broken connection.

    A connection can break while the peer is healthy, so a second call on a
    new connection must fail before the peer becomes suspect.
    """
    members = _membership()
    members.on_frame(_frame(_record(B)), 0)
    assert members.on_call_failed(B, 1)
    assert members.on_tick(1) == [B]
    assert members.records()[1].state is MemberState.LIVE
    assert not members.on_call_failed(B, 2)
    assert members.records()[1].state is MemberState.SUSPECT
    assert B in members.live()
    members.on_tick(4.9)
    assert members.is_reachable(B)
    members.on_tick(5)
    assert not members.is_reachable(B)
    assert members.live() == {A}


def test_success_resets_the_failed_call() -> None:
    """Guards against suspicion after failures that are not consecutive.

    Single calls may fail now and then at a healthy peer.
    """
    members = _membership()
    members.on_frame(_frame(_record(B)), 0)
    assert members.on_call_failed(B, 1)
    members.on_reply(B, _frame(_record(B)), 1)
    assert members.on_call_failed(B, 2)


def test_reply_of_another_router() -> None:
    """Guards against a stopped router that stays live.

    Another router may take over its address and answer the calls to it.
    """
    members = _membership()
    members.on_frame(_frame(_record(B)), 0)
    members.on_reply(B, _frame(_record(C)), 1)
    assert members.is_reachable(C)
    assert not members.on_call_failed(B, 1)
    states = {one.router: one.state for one in members.records()}
    assert states[B] is MemberState.SUSPECT


def test_precedence_of_records() -> None:
    """Guards against old gossip that overrides newer records.

    Records travel through several routers and arrive in any order. The higher
    incarnation counts first, then the higher heartbeat, then the state.
    """
    members = _membership()
    members.on_frame(_frame(_record(C), _record(B, heartbeat=3)), 0)
    steps = [
        (_record(B, MemberState.SUSPECT, heartbeat=2), MemberState.LIVE),
        (_record(B, MemberState.SUSPECT, heartbeat=3), MemberState.SUSPECT),
        (_record(B, MemberState.LIVE, heartbeat=3), MemberState.SUSPECT),
        (_record(B, MemberState.LIVE, heartbeat=4), MemberState.LIVE),
        (_record(B, MemberState.SUSPECT, 99, 9), MemberState.LIVE),
        (_record(B, MemberState.LEAVING, 101), MemberState.LEAVING),
        (_record(B, MemberState.LIVE, 101), MemberState.LEAVING),
    ]
    for record, expected in steps:
        members.on_frame(_frame(_record(C), record), 0)
        held = {one.router: one.state for one in members.records()}
        assert held[B] is expected
    assert members.live() == {A, C}


def test_suspicion_of_this_router_is_refuted() -> None:
    """Guards against a live router that others keep as suspect or dead.

    It must raise its heartbeat when it learns of such a record.
    """
    members = _membership()
    for state in (MemberState.SUSPECT, MemberState.DEAD):
        own = members.own_record()
        members.on_frame(_frame(_record(B), replace(own, state=state)), 0)
        assert members.own_record().heartbeat == own.heartbeat + 1
        assert members.own_record().state is MemberState.LIVE


def test_incarnation_rises_above_one_in_gossip() -> None:
    """Guards against a restarted router whose records are ignored.

    If its clock went back, its incarnation is lower than the one before the
    restart, which other routers still gossip.
    """
    members = _membership()
    earlier = _record(A, incarnation=500, heartbeat=7)
    assert members.on_frame(_frame(_record(B), earlier), 0).incarnation_changed
    assert members.own_record().incarnation == 501
    # Within an incarnation only this process raises the heartbeat or leaves,
    # so these records show another process with the same incarnation.
    for other in (
        _record(A, incarnation=501, heartbeat=1),
        _record(A, MemberState.LEAVING, incarnation=502),
    ):
        assert members.on_frame(
            _frame(_record(B), other), 0
        ).incarnation_changed
    assert members.own_record().incarnation == 503


def test_suspicion_of_a_later_heartbeat_restarts_the_timeout() -> None:
    """Guards against a dead state without time to refute the suspicion.

    A suspicion with a later heartbeat is a new one; the time since the first
    one must not count.
    """
    members = _membership()
    members.on_frame(_frame(_record(B), _record(C)), 0)
    for heartbeat, second in ((0, 0), (1, 2)):
        suspect = _record(C, MemberState.SUSPECT, heartbeat=heartbeat)
        members.on_frame(_frame(_record(B), suspect), second)
    members.on_tick(4)
    assert members.is_reachable(C)
    members.on_tick(5)
    assert not members.is_reachable(C)


def test_restart_with_a_clock_that_went_back() -> None:
    """Guards against a restarted router whose frames are ignored for ever.

    After a clock step back its incarnation is lower than before, until it
    learns the former one from its peers and exceeds it.
    """
    fleet = MemberFleet(NAMES)
    fleet.run(30)
    earlier = fleet.nodes[A].membership.own_record().incarnation
    fleet.start(A, clock_back_seconds=3600)
    fleet.run(2)
    own = fleet.nodes[A].membership.own_record()
    assert own.incarnation > earlier
    fleet.run(2)
    assert {view.incarnation_of(A) for view in fleet.views()} == {
        own.incarnation
    }


def test_frame_of_an_older_incarnation() -> None:
    """Guards against use of frames from a process that was replaced.

    The frame must be ignored, but the next frame to the sender must tell it
    about the newer incarnation.
    """
    members = _membership()
    members.on_frame(_frame(_record(B, incarnation=200)), 0)
    while len(members.records_to_send(B)) > 1:
        members.on_tick(0)
    old = _frame(_record(B, incarnation=150), _record(C))
    assert not members.on_frame(old, 0).accepted
    assert not members.is_reachable(C)
    sent_records = {one.router: one for one in members.records_to_send(B)}
    assert sent_records[B].incarnation == 200


def test_first_frame_of_an_incarnation_is_reported() -> None:
    """Guards against a restarted router that lacks reports of its peers.

    Peers send it the leaving targets and the crashes when the outcome says
    that the sender is new.
    """
    members = _membership()
    assert members.on_frame(_frame(_record(B)), 0).sender_is_new
    assert not members.on_frame(_frame(_record(B)), 0).sender_is_new
    newer = _frame(_record(B, incarnation=101))
    assert members.on_frame(newer, 0).sender_is_new


def test_death_reported_by_others_is_a_suspicion() -> None:
    """Guards against live routers that are dead for a while after a rejoin.

    The sides of a partition report each other's routers as dead, so such a
    report must only start a suspicion.
    """
    members = _membership()
    members.on_frame(_frame(_record(B), _record(C)), 0)
    dead = _record(C, MemberState.DEAD)
    members.on_frame(_frame(_record(B), dead), 1)
    assert members.is_reachable(C)
    members.on_tick(4)
    assert not members.is_reachable(C)


def test_tombstone_rejects_old_gossip() -> None:
    """Guards against removed routers that come back through old gossip.

    A router that rejoins late still has records of them.
    """
    members = _membership()
    members.on_frame(_frame(_record(B), _record(C)), 0)
    for _ in range(2):
        members.on_call_failed(C, 0)
    for second in range(700):
        members.on_tick(second)
    assert [one.router for one in members.records()] == [A, B]
    members.on_frame(_frame(_record(B), _record(C)), 700)
    assert not members.is_reachable(C)
    members.on_frame(_frame(_record(B), _record(C, heartbeat=1)), 700)
    assert members.is_reachable(C)


def test_host_list_adds_candidates_only() -> None:
    """Guards against a stopped router that is live because it is listed.

    The host list may lag, so an entry only makes a router a probe candidate.
    """
    members = _membership()
    listed = ListedRouter(B, '127.0.0.1:9000', FailureDomain('konya'), False)
    members.on_hosts([listed], 0)
    assert members.live() == {A}
    assert members.on_tick(1) == [B]
    assert members.address_of(B) == '127.0.0.1:9000'
    members.on_call_failed(B, 1)
    probed = [members.on_tick(second) for second in range(2, 10)]
    assert [B] in probed and [] in probed
    members.on_frame(_frame(_record(B)), 10)
    members.on_hosts([replace(listed, leaving=True)], 10)
    assert members.live() == {A}
    members.on_hosts([], 11)
    assert members.live() == {A}
    members.on_hosts([listed], 12)
    assert members.live() == {A, B}


def test_leaving() -> None:
    """Guards against new work for a leaving router.

    Also guards against no router at all when every router is leaving.
    """
    members = _membership()
    members.on_frame(_frame(_record(B)), 0)
    members.leave()
    assert members.own_record().state is MemberState.LEAVING
    assert members.live() == {B}
    leaving = _record(B, MemberState.LEAVING, heartbeat=1)
    members.on_frame(_frame(leaving), 0)
    assert members.live() == {A, B}


def test_pause_does_not_mark_peers_dead() -> None:
    """Guards against healthy peers that are dead after a pause.

    While this process is paused it receives nothing, so calls that failed and
    suspicions that ran out in that time must not count.
    """
    members = _membership()
    members.on_frame(_frame(_record(B), _record(C)), 0)
    members.on_tick(0)
    for _ in range(2):
        members.on_call_failed(C, 1)
    members.on_tick(1)
    assert not members.pop_resumed()
    members.on_call_failed(B, 60)
    assert members.pop_resumed()
    members.on_tick(60)
    assert not members.pop_resumed()
    assert members.live() == {A, B, C}


def test_bounds_of_a_frame_and_of_retransmission() -> None:
    """Guards against frames and gossip without a limit.

    A frame must not grow with the fleet, and a change must be sent only a
    bounded number of times.
    """
    members = _membership()
    names = [RouterId(f'r{index}') for index in range(200)]
    members.on_frame(_frame(*map(_record, names)), 0)
    sent: dict[RouterId, int] = {}
    for _ in range(1000):
        records = members.records_to_send()
        assert len(records) <= 16
        assert records[0].router == A
        for record in records[1:]:
            sent[record.router] = sent.get(record.router, 0) + 1
    assert set(sent) == set(names)
    # Three times the binary logarithm of the fleet.
    assert max(sent.values()) <= 24
    first = members.records_to_send(names[0])
    assert 16 < len(first) <= 65
    assert len(members.records_to_send(names[0])) == 1


def test_own_record_is_sent_to_peers_that_lack_it() -> None:
    """Guards against the own record in every frame, and in no frame.

    It is left out once a peer has it, and sent again after a change or to a
    peer that does not know this incarnation.
    """
    fleet = MemberFleet('ab')
    fleet.run(30)
    members = fleet.nodes[A].membership
    while A in {one.router for one in members.records_to_send(B)}:
        pass
    members.set_config_version(ConfigVersion(9))
    assert members.records_to_send(B)[0].config_version == 9
    while A in {one.router for one in members.records_to_send(B)}:
        pass
    unaware_frame = replace(
        _frame(fleet.nodes[B].membership.own_record()),
        receiver_incarnation=Incarnation(0),
    )
    members.on_frame(unaware_frame, 40.0)
    assert members.records_to_send(B)[0].router == A


def test_probes_cover_all_peers() -> None:
    """Guards against peers that are never probed.

    A random choice in each period could omit a peer for a long time.
    """
    members = _membership()
    names = [RouterId(f'r{index}') for index in range(40)]
    members.on_frame(_frame(*map(_record, names)), 0)
    rounds = [members.on_tick(second) for second in range(10)]
    assert all(len(probes) == 4 for probes in rounds)
    assert {router for probes in rounds for router in probes} == set(names)


def test_large_fleet_after_a_restart() -> None:
    """Guards against a restarted router that learns a large fleet slowly.

    The usual record count per frame would need many periods.
    """
    fleet = MemberFleet(NAMES + 'fghijklmnopqrstuvwxyz')
    fleet.run(30)
    fleet.start(A)
    fleet.run(3)
    assert len(fleet.nodes[A].membership.live()) == 26


def test_a_stopped_router_is_dead_everywhere() -> None:
    """Guards against a stopped router that still coordinates targets.

    All other routers must learn of it in time, whichever of them probes it.
    """
    for seed in range(20):
        fleet = MemberFleet(NAMES, seed)
        fleet.run(10)
        fleet.nodes[C].running = False
        fleet.run(STOP_PERIODS)
        assert not any(view.is_reachable(C) for view in fleet.views())


def test_partition_and_rejoin() -> None:
    """Guards against sides of a partition that stay apart after it heals.

    Also guards against routers of the own side that are lost meanwhile.
    """
    for seed in range(20):
        fleet = MemberFleet(NAMES, seed)
        fleet.run(10)
        fleet.nodes[A].side = fleet.nodes[B].side = 1
        fleet.run(30)
        assert fleet.nodes[A].membership.live() == {A, B}
        assert fleet.nodes[C].membership.live() == {*'cde'}
        fleet.nodes[A].side = fleet.nodes[B].side = 0
        for _ in range(SETTLE_PERIODS):
            fleet.run()
            assert fleet.nodes[A].membership.live() >= {A, B}
            assert fleet.nodes[C].membership.live() >= {*'cde'}
        assert all(view.live() == {*NAMES} for view in fleet.views())


class FleetMachine(RuleBasedStateMachine):
    """Guards against views of the fleet that stay different after faults.

    Frames are lost or duplicated, and routers stop, restart, pause, leave or
    are partitioned. Afterwards all views must converge, and a leaving
    incarnation must never become live again.
    """

    names = st.sampled_from(NAMES).map(RouterId)

    def __init__(self) -> None:
        """Start a fleet of five."""
        super().__init__()
        self.fleet = MemberFleet(NAMES)
        self.fleet.keep_copies = True
        self.left: set[tuple[Membership, RouterId, Incarnation]] = set()

    @rule(seed=st.integers(0, 2**32), loss=st.sampled_from((0, 0.1, 0.5)))
    def set_loss(self, seed: int, loss: float) -> None:
        """Set the ratio of frames that are lost from now on."""
        self.fleet.rng.seed(seed)
        self.fleet.loss = loss

    @rule(period_count=st.integers(1, 12))
    def run_periods(self, period_count: int) -> None:
        """Advance the time by some periods."""
        self.fleet.run(period_count)

    @rule()
    def deliver_copies(self) -> None:
        """Deliver old frames again, out of order."""
        self.fleet.deliver_copies()

    @rule(name=names)
    def stop(self, name: RouterId) -> None:
        """Stop a router."""
        self.fleet.nodes[name].running = False

    @rule(name=names, clock_back_seconds=st.sampled_from((0, 0, 3600)))
    def restart(self, name: RouterId, clock_back_seconds: float) -> None:
        """Restart a router without its state."""
        self.fleet.now_seconds += 0.001
        self.fleet.start(name, clock_back_seconds)

    @rule(name=names)
    def pause_or_resume(self, name: RouterId) -> None:
        """Pause a process, or resume it."""
        self.fleet.nodes[name].paused = not self.fleet.nodes[name].paused

    @rule(name=names, side=st.integers(0, 1))
    def move(self, name: RouterId, side: int) -> None:
        """Move a router to one side of a partition."""
        self.fleet.nodes[name].side = side

    @rule(name=names)
    def leave(self, name: RouterId) -> None:
        """Begin a graceful stop."""
        self.fleet.nodes[name].membership.leave()

    @rule()
    @precondition(lambda self: self.fleet.running())
    def settle(self) -> None:
        """End all faults; all views must converge to the running routers."""
        self.fleet.loss = 0
        self.fleet.copies.clear()
        for node in self.fleet.nodes.values():
            node.paused = False
            node.side = 0
        self.fleet.run(SETTLE_PERIODS)
        running = self.fleet.running()
        leaving = {
            view.own_record().router
            for view in self.fleet.views()
            if view.own_record().state is MemberState.LEAVING
        }
        for view in self.fleet.views():
            assert view.reachable() == running
            assert view.live() == (running - leaving or running)
        owns = {
            view.own_record().router: view.own_record().incarnation
            for view in self.fleet.views()
        }
        for view in self.fleet.views():
            assert {one: view.incarnation_of(one) for one in owns} == owns

    @invariant()
    def leaving_is_sticky(self) -> None:
        """Check that no view makes a leaving incarnation live again."""
        for view in self.fleet.views():
            for record in view.records():
                if record.state is MemberState.LEAVING:
                    self.left.add((view, record.router, record.incarnation))
            left = {
                router
                for router in view.reachable()
                if (view, router, view.incarnation_of(router)) in self.left
            }
            if left != view.reachable():
                assert not left & view.live()


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
