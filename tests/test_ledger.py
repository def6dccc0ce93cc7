"""Service counters of coordinators and their totals at the aggregator."""

import random

import pytest

from dotterelhatch.core.ledger import (
    IDLE_AFTER_SECONDS,
    Aggregator,
    ServiceLedger,
)
from dotterelhatch.core.messages import LedgerReport
from dotterelhatch.ids import Incarnation, OrganisationId, RouterId, ServiceId

SERVICE = ServiceId('usta-model')
AGGREGATOR = RouterId('router-0')
A = OrganisationId('org-a')
B = OrganisationId('org-b')
INCARNATION = Incarnation(1)


class LedgerFleet:
    """Two coordinators that report to one aggregator."""

    def __init__(self) -> None:
        """Let both coordinators join the session."""
        self.now_seconds = 0.0
        self.aggregator = Aggregator(SERVICE, random.Random(1))
        self.ledgers = {
            RouterId(name): ServiceLedger(SERVICE) for name in ('one', 'two')
        }
        self.one, self.two = self.ledgers.values()
        self.active = {A, B}
        self.joins = self.exchange()

    def exchange(
        self, aggregator_id: RouterId = AGGREGATOR
    ) -> list[LedgerReport]:
        """Exchange reports and totals.

        Two rounds are needed for both coordinators to get all totals.
        """
        reports = []
        for _round in range(2):
            self.now_seconds += 1
            for name, ledger in self.ledgers.items():
                report = ledger.report(aggregator_id, self.active)
                reports.append(report)
                self.deliver(name, report, aggregator_id)
        return reports

    def deliver(
        self,
        name: RouterId,
        report: LedgerReport,
        aggregator_id: RouterId = AGGREGATOR,
    ) -> None:
        """Pass a report to the aggregator and its totals to the sender."""
        totals = self.aggregator.on_report(
            name, INCARNATION, report, self.now_seconds
        )
        self.ledgers[name].on_totals(aggregator_id, totals, self.now_seconds)

    def gap(self) -> float:
        """Return by how much organisation A is ahead at both coordinators."""
        gaps = {
            ledger.normalised_service(A) - ledger.normalised_service(B)
            for ledger in self.ledgers.values()
        }
        assert len(gaps) == 1, gaps
        return gaps.pop()


def test_coordinators_agree_after_an_exchange() -> None:
    """Guards against a fair order that differs between coordinators.

    Each coordinator charges requests on its own targets only, and learns of
    the other charges by the totals.
    """
    fleet = LedgerFleet()
    fleet.one.charge(A, 500)
    fleet.two.charge(B, 200)
    fleet.exchange()
    assert fleet.gap() == 300


def test_own_service_counts_for_the_fleet_between_exchanges() -> None:
    """Guards against all coordinators serving one organisation at a time.

    A coordinator that counted only its own charges between two exchanges
    would serve the same organisation as the others.
    """
    fleet = LedgerFleet()
    fleet.one.scale = 4.0
    fleet.one.charge(A, 100)
    assert (
        fleet.one.normalised_service(A) - fleet.one.normalised_service(B) == 400
    )
    fleet.exchange()
    assert fleet.gap() == 100


def test_repeated_and_late_reports_change_nothing() -> None:
    """Guards against late reports that raise or lower the counters.

    A call may be repeated or delayed, so the aggregator can get a report
    again after newer ones.
    """
    fleet = LedgerFleet()
    fleet.one.charge(A, 500)
    reports = fleet.exchange()
    one = RouterId('one')
    for report in (*reversed(reports[::2]), *fleet.joins[::2]):
        fleet.aggregator.on_report(one, INCARNATION, report, fleet.now_seconds)
        # The other coordinator gets the totals in between.
        two = fleet.two.report(AGGREGATOR, ())
        fleet.deliver(RouterId('two'), two)
        assert fleet.gap() == 500
    fleet.exchange()
    assert fleet.gap() == 500


def test_corrections_lower_the_total() -> None:
    """Guards against a charge that stays at a too high estimate.

    A grant is charged with an estimate first, and corrected to the actual cost
    when its request ends.
    """
    fleet = LedgerFleet()
    fleet.one.charge(A, 3000)
    fleet.exchange()
    fleet.one.charge(A, -2700)
    fleet.exchange()
    assert fleet.gap() == 300


@pytest.mark.parametrize('is_same_router', [True, False])
def test_new_aggregator_goes_on_from_the_known_totals(
    is_same_router: bool,
) -> None:
    """Guards against totals that are lost with the aggregator.

    It may restart or be replaced by another router, and then starts with empty
    totals. The coordinators report the totals that they know.
    """
    fleet = LedgerFleet()
    fleet.one.charge(A, 500)
    fleet.exchange()
    fleet.aggregator = Aggregator(SERVICE, random.Random(2))
    aggregator_id = AGGREGATOR if is_same_router else RouterId('router-3')
    fleet.exchange(aggregator_id)
    fleet.exchange(aggregator_id)
    assert fleet.gap() == 500
    fleet.two.charge(B, 200)
    fleet.exchange(aggregator_id)
    assert fleet.gap() == 300


def test_restarted_coordinator_gets_the_totals() -> None:
    """Guards against a restart that restores old totals or loses them.

    The counters of the coordinator start at 0 again while its former charges
    are already in the totals.
    """
    fleet = LedgerFleet()
    fleet.one.charge(A, 500)
    fleet.exchange()
    restarted = ServiceLedger(SERVICE)
    report = restarted.report(AGGREGATOR, ())
    totals = fleet.aggregator.on_report(
        RouterId('one'), Incarnation(2), report, fleet.now_seconds
    )
    restarted.on_totals(AGGREGATOR, totals, fleet.now_seconds)
    fleet.ledgers[RouterId('one')] = restarted
    assert fleet.gap() == 500


def test_idle_organisation_gets_no_credit() -> None:
    """Guards against credit for the time without demand.

    With its old total the organisation would be served alone until it had
    caught up with the others.
    """
    fleet = LedgerFleet()
    fleet.active = {A}
    fleet.one.charge(A, 500)
    fleet.now_seconds += 2 * IDLE_AFTER_SECONDS
    fleet.exchange()
    fleet.active = {A, B}
    fleet.one.raise_to_virtual_time(B)
    assert fleet.one.normalised_service(B) == fleet.one.normalised_service(A)
    fleet.exchange()
    assert fleet.gap() == 0


def test_organisation_that_was_alone_is_not_penalised() -> None:
    """Guards against a debt for slots that no other organisation used.

    Otherwise it would get no slots until the others had caught up with it.
    """
    fleet = LedgerFleet()
    fleet.active = {A}
    for _round in range(3):
        fleet.one.charge(A, 5000)
        fleet.exchange()
    fleet.active = {A, B}
    fleet.exchange()
    assert fleet.gap() == 0


def test_weight_counts_from_its_change_on() -> None:
    """Guards against a changed weight that applies to former charges.

    Totals are in units over weight. With the new weight for all charges, the
    order of the organisations would change at once.
    """
    fleet = LedgerFleet()
    fleet.one.charge(A, 300)
    fleet.exchange()
    fleet.one.charge(A, 100)
    weights = {A: 4.0, B: 1.0}
    fleet.one.set_weights(weights)
    assert (
        fleet.one.normalised_service(A) - fleet.one.normalised_service(B) == 400
    )
    fleet.exchange()
    fleet.aggregator.set_weights(weights)
    fleet.two.set_weights(weights)
    fleet.two.charge(A, 400)
    fleet.exchange()
    assert fleet.gap() == 500
