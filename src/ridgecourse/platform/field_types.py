"""Constrained field types for the store's records.

Any writer can append a record to the store, so a value of the right JSON type can still
be invalid: a negative weight, a malformed address, or a name with a line break, which
would end a header's line.
"""

from typing import Annotated

from msgspec import Meta

from ridgecourse.net.address import parse_address

MAX_COUNT = 2**31
MAX_QUANTITY = 1e12
MAX_VERSION = 2**53
"""Limit up to which JSON numbers are exact integers in every language."""

PositiveInt = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
NonNegativeFloat = Annotated[float, Meta(ge=0.0, le=MAX_QUANTITY)]
PositiveFloat = Annotated[float, Meta(gt=0.0, le=MAX_QUANTITY)]
Version = Annotated[int, Meta(ge=1, le=MAX_VERSION)]
VersionOrZero = Annotated[int, Meta(ge=0, le=MAX_VERSION)]
"""A version of a model's weights; 0 for none."""
AsciiName = Annotated[str, Meta(pattern=r"\A[!-~]{1,255}\Z")]
"""Visible ASCII, because names are put into headers and paths without escaping."""
SocketAddress = Annotated[str, Meta(pattern=r"\A[0-9A-Fa-f.:\[\]]+:[1-9][0-9]{0,4}\Z")]
"""HOST:PORT with a numeric host. The pattern is necessary but not sufficient;
``check_address`` does the full check."""


def check_address(text: str) -> None:
    """Check that a text which matches ``SocketAddress`` is a valid address.

    Raises:
        ValueError: The text is not a valid address.
    """
    parse_address(text)
