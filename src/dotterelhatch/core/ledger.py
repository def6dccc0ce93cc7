"""Service counters of the homes and their fleet-wide totals."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from dotterelhatch.core.messages import LedgerReport, LedgerTotals, UnitTotal
from dotterelhatch.ids import Incarnation, OrganisationId, RouterId, ServiceId

__all__ = ('IDLE_AFTER_SECONDS', 'Aggregator', 'ServiceLedger')

_Units = dict[OrganisationId, float]

# Without demand for this long an organisation is idle. Shorter gaps occur
# while grants and new demand pass each other.
IDLE_AFTER_SECONDS: Final = 2.5
# A total is repeated this many reports after its last change, so that a lost
# answer does not leave a home with an old total.
_REPEAT_COUNT: Final = 5
_SESSION_BITS: Final = 32
# Reports that may still be answered; older answers are ignored.
_OPEN_REPORT_COUNT: Final = 16


def _pack(units: _Units) -> tuple[UnitTotal, ...]:
    return tuple(UnitTotal(name, units[name]) for name in sorted(units))


def _unpack(totals: Iterable[UnitTotal]) -> _Units:
    return {total.organisation: total.units for total in totals}


class ServiceLedger:
    """Counters of one service at one home.

    Totals are in units over weight, so that a changed weight counts from the
    change on. Between two answers of the aggregator the home assumes that
    the other homes serve as it does and scales what it charged to the fleet.
    """

    def __init__(self, service: ServiceId) -> None:
        """Start with nothing charged and no aggregator known."""
        self.service = service
        self.scale = 1.0
        self._weights: dict[OrganisationId, float] = {}
        self._own: _Units = {}
        self._included: _Units = {}
        self._totals: _Units = {}
        self._lifts: _Units = {}
        self._virtual_time = 0.0
        self._session = 0
        self._sequence = 0
        self._reported: dict[int, _Units] = {}
        self.aggregator: RouterId | None = None
        self._answered_at_seconds: float | None = None

    def set_weights(self, weights: dict[OrganisationId, float]) -> None:
        """Apply the configured weights."""
        for name in self._own:
            # What was charged so far stays charged at the former weight.
            self._totals[name] = self._unscaled(name)
        self._included = dict(self._own)
        self._reported.clear()
        self._weights = dict(weights)

    def weight(self, organisation: OrganisationId) -> float:
        """Return the weight of an organisation."""
        return self._weights.get(organisation, 1.0)

    def charge(self, organisation: OrganisationId, units: float) -> None:
        """Add units, negative ones as a correction."""
        self._own[organisation] = self._own.get(organisation, 0) + units

    def key(self, organisation: OrganisationId) -> float:
        """Return the estimated fleet-wide service in units over weight."""
        recent = self._recent(organisation) * self.scale
        total = self._totals.get(organisation, 0)
        lift = self._lifts.get(organisation, 0)
        return total + lift + recent / self.weight(organisation)

    def total(self, organisation: OrganisationId) -> float:
        """Return the last known fleet total in units over weight."""
        return self._totals.get(organisation, 0)

    def age_seconds(self, now_seconds: float) -> float | None:
        """Return the age of the totals, None when there are none."""
        if self._answered_at_seconds is None:
            return None
        return now_seconds - self._answered_at_seconds

    def lift(self, organisation: OrganisationId) -> None:
        """Raise an organisation that was idle to the virtual time.

        The aggregator does the same on the next report, so this holds until
        the totals arrive.
        """
        missing = self._virtual_time - self.key(organisation)
        if missing > 0:
            lift = self._lifts.get(organisation, 0)
            self._lifts[organisation] = lift + missing

    def report(
        self, aggregator: RouterId, active: Iterable[OrganisationId]
    ) -> LedgerReport:
        """Return the report that is due to the aggregator.

        :param active: organisations with demand at this home.
        """
        if aggregator != self.aggregator:
            self.aggregator = aggregator
            self._session = 0
        self._sequence += 1
        joining = self._session == 0
        self._reported[self._sequence] = dict(self._own)
        self._reported.pop(self._sequence - _OPEN_REPORT_COUNT, None)
        return LedgerReport(
            self.service,
            self._session,
            self._sequence,
            rows=_pack(self._rows(active, everything=joining)),
            known_totals=_pack(self._known()) if joining else (),
        )

    def on_totals(
        self, sender: RouterId, totals: LedgerTotals, now_seconds: float
    ) -> None:
        """Take over the totals of the aggregator."""
        if sender != self.aggregator:
            return
        if totals.sequence == 0:
            self._session = 0
            return
        included = self._reported.get(totals.sequence)
        if included is None or self._session not in {0, totals.session}:
            return
        self._session = totals.session
        self._included = included
        self._virtual_time = max(self._virtual_time, totals.virtual_time)
        received = _unpack(totals.totals)
        self._totals.update(received)
        for lifted in self._lifts.keys() & received.keys():
            self._lifts.pop(lifted)
        self._reported = {
            sequence: rows
            for sequence, rows in self._reported.items()
            if sequence > totals.sequence
        }
        self._answered_at_seconds = now_seconds

    def dump(self, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'aggregator': self.aggregator,
            'session': self._session,
            'scale': self.scale,
            'totals': dict(self._totals),
            'own': dict(self._own),
            'age_seconds': self.age_seconds(now_seconds),
        }

    def _recent(self, organisation: OrganisationId) -> float:
        own = self._own.get(organisation, 0)
        return own - self._included.get(organisation, 0)

    def _rows(
        self, active: Iterable[OrganisationId], *, everything: bool
    ) -> _Units:
        names = {
            name
            for name, units in self._own.items()
            if everything or units != self._included.get(name)
        }
        return {name: self._own.get(name, 0) for name in names.union(active)}

    def _unscaled(self, organisation: OrganisationId) -> float:
        recent = self._recent(organisation) / self.weight(organisation)
        return self._totals.get(organisation, 0) + recent

    def _known(self) -> _Units:
        names = self._totals.keys() | self._own.keys()
        return {name: self._unscaled(name) for name in names}


@dataclass
class _CoordinatorRow:
    incarnation: Incarnation
    sequence: int
    units: _Units = field(default_factory=dict)


class Aggregator:
    """Fleet totals of one service, kept by one router.

    Rows replace older ones by sequence, so that repeated and reordered
    reports do no harm. A home that joins brings the totals it knows; the
    larger value per organisation counts, because every home knows a lower
    bound of what was served.
    """

    def __init__(self, service: ServiceId, rng: random.Random) -> None:
        """Start a session with empty totals."""
        self.service = service
        self.session = rng.getrandbits(_SESSION_BITS) + 1
        self._weights: dict[OrganisationId, float] = {}
        self._totals: _Units = {}
        self._virtual_time = 0.0
        self._rows: dict[RouterId, _CoordinatorRow] = {}
        self._changed_at: dict[OrganisationId, int] = {}
        self._active_at_seconds: dict[OrganisationId, float] = {}
        self._report_count = 0

    def set_weights(self, weights: dict[OrganisationId, float]) -> None:
        """Apply the configured weights."""
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
            _pack(self._totals if joining else self._recently_changed()),
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
            self._advance(self._rows[sender], report)
        for total in report.rows:
            self._note_active(total.organisation, now_seconds)
        self._advance_virtual_time(now_seconds)

    def _join(
        self, sender: RouterId, incarnation: Incarnation, report: LedgerReport
    ) -> None:
        for total in report.known_totals:
            known = self._totals.get(total.organisation, 0)
            if total.units > known:
                self._set_total(total.organisation, total.units)
        self._rows[sender] = _CoordinatorRow(
            incarnation, report.sequence, _unpack(report.rows)
        )

    def _advance(self, row: _CoordinatorRow, report: LedgerReport) -> None:
        row.sequence = report.sequence
        for total in report.rows:
            name = total.organisation
            grown = total.units - row.units.get(name, 0)
            row.units[name] = total.units
            if grown:
                weight = self._weights.get(name, 1.0)
                before = self._totals.get(name, 0)
                self._set_total(name, before + grown / weight)

    def _note_active(
        self, organisation: OrganisationId, now_seconds: float
    ) -> None:
        """Note demand; an organisation that was idle gets no credit."""
        active_at = self._active_at_seconds.get(organisation)
        self._active_at_seconds[organisation] = now_seconds
        if active_at is None or now_seconds - active_at > IDLE_AFTER_SECONDS:
            total = self._totals.get(organisation, 0)
            self._set_total(organisation, max(total, self._virtual_time))

    def _advance_virtual_time(self, now_seconds: float) -> None:
        oldest = now_seconds - IDLE_AFTER_SECONDS
        active = [
            self._totals.get(name, 0)
            for name, seen in self._active_at_seconds.items()
            if seen >= oldest
        ]
        if active:
            self._virtual_time = max(self._virtual_time, min(active))

    def _set_total(self, organisation: OrganisationId, units: float) -> None:
        self._totals[organisation] = units
        self._changed_at[organisation] = self._report_count

    def _recently_changed(self) -> _Units:
        window = _REPEAT_COUNT * max(1, len(self._rows))
        oldest = self._report_count - window
        return {
            name: units
            for name, units in self._totals.items()
            if self._changed_at[name] >= oldest
        }
