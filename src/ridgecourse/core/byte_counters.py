"""Name the counters of received bytes by payload and by kind of link."""

from enum import Enum


class LinkKind(Enum):
    """The link between a process and the sender of received bytes.

    DOMAIN: The sender is in the local failure domain.
    REGION: The sender is in another domain of the local region.
    INTER_REGION: The link between two regions, which all traffic shares.
    ORIGIN: The path to the origin of weights, in any location.
    """

    DOMAIN = "domain"
    REGION = "region"
    INTER_REGION = "abroad"
    ORIGIN = "origin"


class PayloadKind(Enum):
    """The kind of content that the bytes belong to."""

    WEIGHTS = "weights"
    MANIFEST = "manifest"


def byte_counter(cargo: PayloadKind, link: LinkKind) -> str:
    """Return the name of the counter of received bytes."""
    return f"bytes_{cargo.value}_{link.value}"
