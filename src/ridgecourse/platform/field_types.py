"""Types of fields in the store's records, narrower than JSON's own.

Any writer may leave a record in the store, so that a value of the right JSON type can
still make no sense: a negative weight, an address that is none, a name that would end a
header's line.
"""

from typing import Annotated

from msgspec import Meta

from ridgecourse.net.address import parse_address

LARGEST_COUNT = 2**31
LARGEST_QUANTITY = 1e12
LARGEST_VERSION = 2**53
"""What JSON's numbers hold exactly in every language."""

Count = Annotated[int, Meta(ge=1, le=LARGEST_COUNT)]
Index = Annotated[int, Meta(ge=0, le=LARGEST_COUNT)]
Quantity = Annotated[float, Meta(ge=0.0, le=LARGEST_QUANTITY)]
Positive = Annotated[float, Meta(gt=0.0, le=LARGEST_QUANTITY)]
Version = Annotated[int, Meta(ge=1, le=LARGEST_VERSION)]
HeldVersion = Annotated[int, Meta(ge=0, le=LARGEST_VERSION)]
"""A version of weights; 0 for none."""
Name = Annotated[str, Meta(pattern=r"\A[!-~]{1,255}\Z")]
"""Visible ASCII: it goes into headers and paths as it stands."""
SocketAddress = Annotated[str, Meta(pattern=r"\A[0-9A-Fa-f.:\[\]]+:[1-9][0-9]{0,4}\Z")]
"""HOST:PORT with a numeric host; ``check_address`` tells whether it is one."""


def check_address(text: str) -> None:
    """Check what has the form of an address.

    Raises:
        ValueError: It is none.
    """
    parse_address(text)
