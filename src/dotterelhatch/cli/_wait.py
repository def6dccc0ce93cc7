"""Waits until routers have applied a configuration version."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from dotterelhatch.cli import _clients
from dotterelhatch.cli._common import format_age, reported_value
from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.ids import ConfigVersion

__all__ = ('ReportedVersion', 'format_lines', 'wait_for_version')

_POLL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ReportedVersion:
    """The version that a router last reported as active.

    :param version: None if the router has not reported any version.
    :param missing_seconds: time for which the router has lacked the awaited
        version, None if it has applied it.
    :param age_seconds: age of the report, None without a report.
    :param failure: why the last poll failed, None if it succeeded.
    """

    address: str
    version: ConfigVersion | None
    missing_seconds: float | None
    age_seconds: float | None
    failure: str | None

    def to_json(self) -> dict[str, Any]:
        """Return the fields for ``--json``."""
        return {
            'router': self.address,
            'config_version': self.version,
            'missing_seconds': self.missing_seconds,
            'age_seconds': self.age_seconds,
            'failure': self.failure,
        }


@dataclass(slots=True)
class _Report:
    """The last report of a router and its time."""

    version: ConfigVersion | None = None
    received_seconds: float | None = None
    failure: str | None = None


async def wait_for_version(
    addresses: Sequence[str],
    version: ConfigVersion,
    since_seconds: float,
    limit_seconds: float,
    on_change: Callable[[Sequence[ReportedVersion]], None],
) -> list[ReportedVersion]:
    """Poll the routers until all have the version or time runs out.

    :param since_seconds: time at which the version was stored.
    :param limit_seconds: how long to poll.
    :param on_change: called with all reports whenever one has changed.
    :returns: the last report of each router.
    """
    end_seconds = _clients.now_seconds() + limit_seconds
    reports = {address: _Report() for address in addresses}
    last_states: list[tuple[str, ConfigVersion | None, str | None]] = []
    while True:
        results = await _clients.fetch_all(addresses, '/status')
        now = _clients.now_seconds()
        for polled_address, result in results.items():
            _update_report(reports[polled_address], result, now)
        reported_versions = [
            _make_reported_version(address, report, version, now, since_seconds)
            for address, report in reports.items()
        ]
        current_states = [
            (reported.address, reported.version, reported.failure)
            for reported in reported_versions
        ]
        if current_states != last_states:
            on_change(reported_versions)
            last_states = current_states
        missing = [
            reported
            for reported in reported_versions
            if reported.missing_seconds is not None
        ]
        if not missing or now >= end_seconds:
            return reported_versions
        await _clients.sleep(_POLL_SECONDS)


def format_lines(
    reported_versions: Sequence[ReportedVersion], version: ConfigVersion
) -> Iterator[str]:
    """Yield a line for each router."""
    for reported in reported_versions:
        version_text = 'version unknown'
        if reported.version is not None:
            age = format_age(reported.age_seconds)
            version_text = (
                f'version {reported.version} active, reported {age} ago'
            )
        parts = [f'{reported.address}: {version_text}']
        if reported.missing_seconds is not None:
            missing = format_age(reported.missing_seconds)
            parts.append(f'version {version} missing for {missing}')
        if reported.failure is not None:
            parts.append(reported.failure)
        yield '; '.join(parts)


def _update_report(
    report: _Report,
    result: Mapping[str, Any] | DotterelhatchError,
    now_seconds: float,
) -> None:
    if isinstance(result, DotterelhatchError):
        report.failure = result.detail
        return
    version_value = reported_value(result.get('config_version'))
    report.version = (
        ConfigVersion(version_value) if isinstance(version_value, int) else None
    )
    report.received_seconds = now_seconds
    report.failure = None


def _make_reported_version(
    address: str,
    report: _Report,
    version: ConfigVersion,
    now_seconds: float,
    since_seconds: float,
) -> ReportedVersion:
    age_seconds = None
    if report.received_seconds is not None:
        age_seconds = now_seconds - report.received_seconds
    # A router never returns to a lower version, so an old report remains valid.
    has_version = report.version is not None and report.version >= version
    # The clock of the operator who stored the version may be ahead.
    missing_seconds = max(now_seconds - since_seconds, 0)
    return ReportedVersion(
        address,
        report.version,
        None if has_version else missing_seconds,
        age_seconds,
        report.failure,
    )
