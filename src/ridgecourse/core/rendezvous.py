"""Rendezvous hashing: every process ranks the same members in the same order."""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest


def rendezvous_score(key: str, member: str) -> int:
    """Return the weight of a member for a key; the highest weight ranks first."""
    return xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rendezvous_fraction(key: str, member: str) -> float:
    """Return the weight of a member for a key as a number from 0 to 1."""
    return rendezvous_score(key, member) / 2.0**64


def rendezvous_rank(key: str, members: Iterable[str]) -> Sequence[str]:
    """Return the members ranked for a key.

    Args:
        key: The key to place.
        members: The candidates, in any order.

    Returns:
        All members, the preferred one first. Removing a member reassigns only the keys
        for which that member ranked first.
    """
    return sorted(
        members,
        key=lambda member: (rendezvous_score(key, member), member),
        reverse=True,
    )
