"""Kinds of errors with their HTTP statuses and exit codes."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, Mapping

__all__ = (
    'ERROR_SPECS',
    'ErrorSpec',
    'DotterelhatchError',
    'ErrorKind',
    'Executed',
)


class Executed(enum.Enum):
    """Whether a target executed the request."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """All kinds of errors that are reported to callers and operators."""

    BAD_REQUEST = 'bad_request'
    UNAUTHORISED = 'unauthorised'
    UNKNOWN_SERVICE = 'unknown_service'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    KEY_REQUIRED = 'idempotency_key_required'
    KEY_REUSED = 'key_reused'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    QUEUE_FULL = 'queue_full'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    REQUEST_CRASHES_TARGETS = 'request_crashes_targets'
    NO_TARGET = 'no_target'
    TARGET_FAILED = 'target_failed'
    TARGET_TIMEOUT = 'target_timeout'
    ANSWER_MISMATCH = 'answer_mismatch'
    STORE_UNAVAILABLE = 'store_unavailable'
    NOT_READY = 'not_ready'
    ROUTER_OVERLOADED = 'router_overloaded'
    ROUTER_FAILED = 'router_failed'
    STOPPING = 'stopping'
    CONFIG_INVALID = 'config_invalid'
    CONFIG_CONFLICT = 'config_conflict'
    SETTINGS_INVALID = 'settings_invalid'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class ErrorSpec:
    """How an error kind is reported to callers and to the shell.

    :param status: HTTP status code.
    :param exit_code: exit code of the command line program.
    :param retry_after_seconds: value of the ``Retry-After`` header, None to
        omit the header.
    """

    status: int
    exit_code: int
    retry_after_seconds: int | None = None


ERROR_SPECS: Final[Mapping[ErrorKind, ErrorSpec]] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorSpec(400, 2),
        ErrorKind.UNAUTHORISED: ErrorSpec(401, 3),
        ErrorKind.UNKNOWN_SERVICE: ErrorSpec(404, 4),
        ErrorKind.NOT_FOUND: ErrorSpec(404, 4),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorSpec(405, 4),
        ErrorKind.BODY_TOO_LARGE: ErrorSpec(413, 2),
        ErrorKind.HEADERS_TOO_LARGE: ErrorSpec(431, 2),
        ErrorKind.KEY_REQUIRED: ErrorSpec(400, 2),
        ErrorKind.KEY_REUSED: ErrorSpec(422, 2),
        ErrorKind.IN_PROGRESS: ErrorSpec(409, 5, retry_after_seconds=2),
        ErrorKind.OUTCOME_UNKNOWN: ErrorSpec(409, 6),
        ErrorKind.QUEUE_FULL: ErrorSpec(429, 7, retry_after_seconds=2),
        ErrorKind.DEADLINE_EXCEEDED: ErrorSpec(504, 8),
        ErrorKind.REQUEST_CRASHES_TARGETS: ErrorSpec(422, 9),
        ErrorKind.NO_TARGET: ErrorSpec(503, 10, retry_after_seconds=5),
        ErrorKind.TARGET_FAILED: ErrorSpec(502, 11),
        ErrorKind.TARGET_TIMEOUT: ErrorSpec(504, 12),
        ErrorKind.ANSWER_MISMATCH: ErrorSpec(502, 13),
        ErrorKind.STORE_UNAVAILABLE: ErrorSpec(503, 14, retry_after_seconds=5),
        ErrorKind.NOT_READY: ErrorSpec(503, 15, retry_after_seconds=2),
        ErrorKind.ROUTER_OVERLOADED: ErrorSpec(503, 20, retry_after_seconds=1),
        ErrorKind.ROUTER_FAILED: ErrorSpec(502, 21),
        ErrorKind.STOPPING: ErrorSpec(503, 16, retry_after_seconds=1),
        ErrorKind.CONFIG_INVALID: ErrorSpec(422, 17),
        ErrorKind.CONFIG_CONFLICT: ErrorSpec(409, 18),
        ErrorKind.SETTINGS_INVALID: ErrorSpec(422, 19),
        ErrorKind.INTERNAL: ErrorSpec(500, 1),
    }
)


class DotterelhatchError(Exception):
    """An error whose kind determines how it is reported.

    :param kind: key of the HTTP status and exit code in ``ERROR_SPECS``.
    :param detail: human-readable description of the error.
    :param executed: whether a target executed the request.
    :param retry_after_seconds: overrides the value in ``ERROR_SPECS``.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        executed: Executed = Executed.NO,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Store the parameters and format the message."""
        super().__init__(f'{kind.value}: {detail}')
        self.kind = kind
        self.detail = detail
        self.executed = executed
        self._retry_after_seconds = retry_after_seconds

    @property
    def spec(self) -> ErrorSpec:
        """Return the entry of ``ERROR_SPECS`` for this kind."""
        return ERROR_SPECS[self.kind]

    @property
    def retry_after_seconds(self) -> float | None:
        """Return the delay before a retry, None if there is none to report."""
        if self._retry_after_seconds is not None:
            return self._retry_after_seconds
        return self.spec.retry_after_seconds
