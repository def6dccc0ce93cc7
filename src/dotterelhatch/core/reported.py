"""Types of the numbers in heartbeats, with the ranges that peers accept.

The decoder checks the ranges. A value that is not a number is in none of them.
"""

from typing import Annotated, Final

import msgspec

__all__ = ('Age', 'Count', 'Era', 'MAX_COUNT', 'Rate', 'Revision')

# Sums of the counts of a large fleet fit into 64 bits.
MAX_COUNT: Final = 10**17
_MAX_AGE_SECONDS: Final = 10**9

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Age = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AGE_SECONDS)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Era = Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT - 1)]
