"""Over which kind of link bytes come, for figures."""

from enum import Enum


class Link(Enum):
    """What lies between a process and where bytes come from.

    DOMAIN: Nothing: the own failure domain.
    REGION: Another domain of the own region.
    ABROAD: The link between two regions, which all traffic shares.
    ORIGIN: The way to the origin of weights, wherever it stands.
    """

    DOMAIN = "domain"
    REGION = "region"
    ABROAD = "abroad"
    ORIGIN = "origin"


class Cargo(Enum):
    """What is carried."""

    WEIGHTS = "weights"
    MANIFEST = "manifest"


def byte_counter(cargo: Cargo, link: Link) -> str:
    """Return the name of the counter of received bytes."""
    return f"bytes_{cargo.value}_{link.value}"
