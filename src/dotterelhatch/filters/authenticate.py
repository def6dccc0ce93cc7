"""Authenticates callers by API key."""

import hashlib
from typing import Final

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.filters.pipeline import Proceed, RequestContext

__all__ = ('Authenticate', 'digest_key')

_SCHEME: Final = 'bearer'


def digest_key(key: str) -> str:
    """Return the SHA-256 hex digest that the configuration stores for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class Authenticate:
    """Determines the organisation of a request from its API key."""

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Set the organisation, or reject the request.

        :raises DotterelhatchError: UNAUTHORISED.
        """
        header = context.exchange.head.header('authorization') or ''
        scheme, _space, key = header.partition(' ')
        if scheme.lower() != _SCHEME or not key.strip():
            raise DotterelhatchError(
                ErrorKind.UNAUTHORISED,
                'missing API key: send "Authorization: Bearer <key>"',
            )
        digest = digest_key(key.strip())
        organisation = context.config.organisation_ids_by_key_digest.get(digest)
        if organisation is None:
            raise DotterelhatchError(ErrorKind.UNAUTHORISED, 'unknown API key')
        context.organisation_id = organisation
        await proceed()
