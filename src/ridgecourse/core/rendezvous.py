"""Rendezvous hashing: every process ranks the same members the same way."""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest


def rendezvous_score(key: str, member: str) -> int:
    """Return the weight of a member for a key; the highest goes first."""
    return xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rendezvous_rank(key: str, members: Iterable[str]) -> Sequence[str]:
    """Return the members in their order for a key.

    Args:
        key: What is to be placed.
        members: The candidates; their order does not matter.

    Returns:
        All members, the preferred one first. Removing a member moves only
        what it was first for.
    """
    return sorted(
        members,
        key=lambda member: (rendezvous_score(key, member), member),
        reverse=True,
    )
