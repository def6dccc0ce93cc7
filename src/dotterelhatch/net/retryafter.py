"""The ``Retry-After`` header in responses of targets."""

import logging
import re
from datetime import datetime
from email.utils import parsedate_to_datetime
from typing import Final

from dotterelhatch.net.httptypes import Headers, find_header

__all__ = ('retry_after_seconds',)

_LOGGER: Final = logging.getLogger(__name__)
_SECONDS_PATTERN: Final = re.compile(r'\d+(?:\.\d*)?|\.\d+', re.ASCII)
_MAX_LOGGED_CHARS: Final = 40


def retry_after_seconds(headers: Headers) -> float | None:
    """Return how long a target wants no further request.

    A date counts from the ``Date`` of the same response, so that the clocks
    of the two hosts may differ. One that has passed is 0 seconds.

    :returns: None if the response does not say so, or nothing valid.
    """
    text = find_header(headers, 'Retry-After')
    if text is None:
        return None
    text = text.strip()
    if _SECONDS_PATTERN.fullmatch(text):
        return float(text)
    until = _parse_date(text)
    sent = _parse_date(find_header(headers, 'Date') or '')
    if until is None or sent is None:
        _LOGGER.warning(
            'a target sent the invalid Retry-After %r',
            text[:_MAX_LOGGED_CHARS],
        )
        return None
    return max(0, (until - sent).total_seconds())


def _parse_date(text: str) -> datetime | None:
    """Return a date of HTTP, None if it is invalid or lacks an offset."""
    try:
        moment = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    return None if moment.tzinfo is None else moment
