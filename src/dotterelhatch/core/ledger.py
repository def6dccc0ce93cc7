"""Counters of the service that organisations receive, and fleet totals.

Each coordinator counts what it charges to organisations, in cost units. One
router per service, the aggregator, sums the counters of all coordinators and
returns the totals, so that all coordinators use the same fair order.

A new aggregator starts a session with empty totals. Each coordinator joins the
session by a report with the totals that it last received and its own charges
since then.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from dotterelhatch.core.messages import LedgerReport, LedgerTotals, UnitTotal
from dotterelhatch.ids import Incarnation, OrganisationId, RouterId, ServiceId

__all__ = ('IDLE_AFTER_SECONDS', 'Aggregator', 'ServiceLedger')

_Units = dict[OrganisationId, float]

# An organisation without demand for this long is idle. Shorter gaps occur
# when a grant and a new demand report cross in transit.
IDLE_AFTER_SECONDS: Final = 2.5
# A total is sent again with this many reports after its last change, so that
# a lost reply does not leave a coordinator with an outdated total.
_REPEATED_REPORT_COUNT: Final = 5
_SESSION_BITS: Final = 32
# The latest reports, to which a reply is still accepted.
_OPEN_REPORT_COUNT: Final = 16


def _to_unit_totals(units: _Units) -> tuple[UnitTotal, ...]:
    return tuple(UnitTotal(name, units[name]) for name in sorted(units))


def _from_unit_totals(totals: Iterable[UnitTotal]) -> _Units:
    return {total.organisation: total.units for total in totals}


class ServiceLedger:
    """Counters of one service at one coordinator.

    Totals are in units over weight, so that a changed weight counts from the
    change on. Between two replies of the aggregator, the coordinator
    assumes that the others serve organisations in the same proportions, and
    scales what it has charged since to the whole fleet.

    :ivar scale: slots of the whole service over those of this coordinator.
    """

    def __init__(self, service: ServiceId) -> None:
        """Create a ledger without charges and without an aggregator."""
        self.service = service
        self.scale = 1.0
        self._weights: dict[OrganisationId, float] = {}
        self._charged: _Units = {}
        self._acknowledged: _Units = {}
        self._totals: _Units = {}
        self._provisional_raises: _Units = {}
        self._virtual_time = 0.0
        self._session = 0
        self._sequence = 0
        self._open_reports: dict[int, _Units] = {}
        self.aggregator: RouterId | None = None
        self._totals_received_seconds: float | None = None

    def set_weights(self, weights: dict[OrganisationId, float]) -> None:
        """Apply changed weights of the organisations."""
        for name in self._charged:
            # Charges up to now count at the former weight.
            self._totals[name] = self._known_total(name)
        self._acknowledged = dict(self._charged)
        self._open_reports.clear()
        self._weights = dict(weights)

    def weight(self, organisation: OrganisationId) -> float:
        """Return the weight of an organisation."""
        return self._weights.get(organisation, 1.0)

    def charge(self, organisation: OrganisationId, units: float) -> None:
        """Add units; a negative value corrects an earlier charge."""
        self._charged[organisation] = self._charged.get(organisation, 0) + units

    def normalised_service(self, organisation: OrganisationId) -> float:
        """Return the estimated units received in the fleet, over weight."""
        recent = self._unacknowledged(organisation) * self.scale
        total = self._totals.get(organisation, 0)
        raised = self._provisional_raises.get(organisation, 0)
        return total + raised + recent / self.weight(organisation)

    def total(self, organisation: OrganisationId) -> float:
        """Return the last known fleet total in units over weight."""
        return self._totals.get(organisation, 0)

    def age_seconds(self, now_seconds: float) -> float | None:
        """Return the age of the totals, None when there are none."""
        if self._totals_received_seconds is None:
            return None
        return now_seconds - self._totals_received_seconds

    def raise_to_virtual_time(self, organisation: OrganisationId) -> None:
        """Raise the service of an organisation to the virtual time.

        An organisation that was idle thus gets no credit for that time. The
        aggregator does the same on the next report. Until its totals arrive,
        the raise is kept here.
        """
        missing = self._virtual_time - self.normalised_service(organisation)
        if missing > 0:
            raised = self._provisional_raises.get(organisation, 0)
            self._provisional_raises[organisation] = raised + missing

    def report(
        self, aggregator: RouterId, active: Iterable[OrganisationId]
    ) -> LedgerReport:
        """Return the next report to the aggregator.

        :param active: organisations with demand at this coordinator.
        """
        if aggregator != self.aggregator:
            self.aggregator = aggregator
            self._session = 0
        self._sequence += 1
        joining = self._session == 0
        self._open_reports[self._sequence] = dict(self._charged)
        self._open_reports.pop(self._sequence - _OPEN_REPORT_COUNT, None)
        return LedgerReport(
            self.service,
            self._session,
            self._sequence,
            rows=_to_unit_totals(
                self._changed_rows(active, include_all=joining)
            ),
            known_totals=_to_unit_totals(self._known_totals())
            if joining
            else (),
        )

    def on_totals(
        self, sender: RouterId, totals: LedgerTotals, now_seconds: float
    ) -> None:
        """Apply the totals of the aggregator."""
        if sender != self.aggregator:
            return
        if totals.sequence == 0:
            self._session = 0
            return
        acknowledged = self._open_reports.get(totals.sequence)
        if acknowledged is None or self._session not in {0, totals.session}:
            return
        self._session = totals.session
        self._acknowledged = acknowledged
        self._virtual_time = max(self._virtual_time, totals.virtual_time)
        received = _from_unit_totals(totals.totals)
        self._totals.update(received)
        for confirmed in self._provisional_raises.keys() & received.keys():
            self._provisional_raises.pop(confirmed)
        self._open_reports = {
            sequence: rows
            for sequence, rows in self._open_reports.items()
            if sequence > totals.sequence
        }
        self._totals_received_seconds = now_seconds

    def dump(self, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'aggregator': self.aggregator,
            'session': self._session,
            'scale': self.scale,
            'totals': dict(self._totals),
            'own': dict(self._charged),
            'age_seconds': self.age_seconds(now_seconds),
        }

    def _unacknowledged(self, organisation: OrganisationId) -> float:
        charged = self._charged.get(organisation, 0)
        return charged - self._acknowledged.get(organisation, 0)

    def _changed_rows(
        self, active: Iterable[OrganisationId], *, include_all: bool
    ) -> _Units:
        names = {
            name
            for name, units in self._charged.items()
            if include_all or units != self._acknowledged.get(name)
        }
        return {
            name: self._charged.get(name, 0) for name in names.union(active)
        }

    def _known_total(self, organisation: OrganisationId) -> float:
        recent = self._unacknowledged(organisation) / self.weight(organisation)
        return self._totals.get(organisation, 0) + recent

    def _known_totals(self) -> _Units:
        names = self._totals.keys() | self._charged.keys()
        return {name: self._known_total(name) for name in names}


@dataclass
class _CoordinatorRow:
    """Last report of one coordinator."""

    incarnation: Incarnation
    sequence: int
    units: _Units = field(default_factory=dict)


class Aggregator:
    """Sums the counters of all coordinators of one service.

    A row replaces an older one of the same coordinator by sequence number,
    so duplicated and reordered reports have no effect. A coordinator that
    joins the session reports its latest totals. The larger value of each
    organisation is used, because every reported total is a lower bound of
    what was served.
    """

    def __init__(self, service: ServiceId, rng: random.Random) -> None:
        """Start a new session with empty totals."""
        self.service = service
        self.session = rng.getrandbits(_SESSION_BITS) + 1
        self._weights: dict[OrganisationId, float] = {}
        self._totals: _Units = {}
        self._virtual_time = 0.0
        self._rows: dict[RouterId, _CoordinatorRow] = {}
        self._changed_at_report: dict[OrganisationId, int] = {}
        self._active_at_seconds: dict[OrganisationId, float] = {}
        self._report_count = 0

    def set_weights(self, weights: dict[OrganisationId, float]) -> None:
        """Apply changed weights of the organisations."""
        self._weights = dict(weights)

    def on_report(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        report: LedgerReport,
        now_seconds: float,
    ) -> LedgerTotals:
        """Add a report and return the totals for its sender."""
        row = self._rows.get(sender)
        if row is not None and row.incarnation != incarnation:
            row = None
        joining = report.session == 0
        if not joining and (row is None or report.session != self.session):
            return LedgerTotals(self.service, self.session, 0, 0, ())
        self._report_count += 1
        if row is None or report.sequence > row.sequence:
            self._add(sender, incarnation, report, now_seconds)
        return LedgerTotals(
            self.service,
            self.session,
            report.sequence,
            self._virtual_time,
            _to_unit_totals(
                self._totals if joining else self._recently_changed()
            ),
        )

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'session': self.session,
            'virtual_time': self._virtual_time,
            'totals': dict(self._totals),
            'homes': sorted(self._rows),
        }

    def _add(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        report: LedgerReport,
        now_seconds: float,
    ) -> None:
        if report.session == 0:
            self._join(sender, incarnation, report)
        else:
            self._apply_rows(self._rows[sender], report)
        for total in report.rows:
            self._record_active(total.organisation, now_seconds)
        self._advance_virtual_time(now_seconds)

    def _join(
        self, sender: RouterId, incarnation: Incarnation, report: LedgerReport
    ) -> None:
        for total in report.known_totals:
            known = self._totals.get(total.organisation, 0)
            if total.units > known:
                self._set_total(total.organisation, total.units)
        self._rows[sender] = _CoordinatorRow(
            incarnation, report.sequence, _from_unit_totals(report.rows)
        )

    def _apply_rows(self, row: _CoordinatorRow, report: LedgerReport) -> None:
        row.sequence = report.sequence
        for total in report.rows:
            name = total.organisation
            growth_units = total.units - row.units.get(name, 0)
            row.units[name] = total.units
            if growth_units:
                weight = self._weights.get(name, 1.0)
                before = self._totals.get(name, 0)
                self._set_total(name, before + growth_units / weight)

    def _record_active(
        self, organisation: OrganisationId, now_seconds: float
    ) -> None:
        """Record demand, and give no credit for the time without it."""
        active_at = self._active_at_seconds.get(organisation)
        self._active_at_seconds[organisation] = now_seconds
        if active_at is None or now_seconds - active_at > IDLE_AFTER_SECONDS:
            total = self._totals.get(organisation, 0)
            self._set_total(organisation, max(total, self._virtual_time))

    def _advance_virtual_time(self, now_seconds: float) -> None:
        oldest = now_seconds - IDLE_AFTER_SECONDS
        active = [
            self._totals.get(name, 0)
            for name, active_at in self._active_at_seconds.items()
            if active_at >= oldest
        ]
        if active:
            self._virtual_time = max(self._virtual_time, min(active))

    def _set_total(self, organisation: OrganisationId, units: float) -> None:
        self._totals[organisation] = units
        self._changed_at_report[organisation] = self._report_count

    def _recently_changed(self) -> _Units:
        window = _REPEATED_REPORT_COUNT * max(1, len(self._rows))
        oldest = self._report_count - window
        return {
            name: units
            for name, units in self._totals.items()
            if self._changed_at_report[name] >= oldest
        }
