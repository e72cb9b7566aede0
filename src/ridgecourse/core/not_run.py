"""Statuses that promise clients that a request has not run and never will.

docs/design/not-run.md lists every place that answers with one of them, and the proof
for which it may do so.
"""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def is_unproven_refusal(status: int, repeatable: bool) -> bool:
    """Check whether an engine's answer must not be passed on, since it may be false.

    An engine may run a request and answer with such a status all the same, for example
    if a service behind the engine is overloaded. For a request that may be repeated
    the difference does not matter.

    Args:
        status: Status of a complete answer that carries no proof.
        repeatable: Whether the request may run more than once.
    """
    return status in NOT_RUN_STATUSES and not repeatable
