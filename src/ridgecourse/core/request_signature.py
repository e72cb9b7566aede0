"""Signatures of requests, and of the parts of prompts that requests share."""

from collections.abc import Iterable
from hashlib import blake2b
from itertools import islice

from ridgecourse.core.ids import (
    AccountName,
    ModelName,
    PartSignature,
    RequestSignature,
    Signature,
)

SIGNATURE_BYTES = 16
LENGTH_BYTES = 8
MAX_PARTS = 32
"""Number of parts of one prompt that get a signature, so that a single client cannot
fill the records of suspected parts."""


def sign_request(
    account: AccountName | None,
    method: str,
    host: str,
    target: str,
    body: bytes | memoryview | None,
) -> RequestSignature:
    """Return the digest of a request, independent of its headers and the attempt.

    Args:
        account: Account of the client; None for a public request.
        method: HTTP method as sent.
        host: Host without a port.
        target: Path and query as sent.
        body: Body of the request; None for none.
    """
    names = (account or "", method, host, target)
    return RequestSignature(_digest(*(name.encode() for name in names), body or b""))


def sign_parts(model: ModelName, part_ids: Iterable[str]) -> tuple[PartSignature, ...]:
    """Return the signatures of the parts of a prompt, each once, in their order.

    An engine reads a part in the same way whoever sends it and by whichever route, but
    another model reads another text. So the model belongs to a signature; account,
    route and service do not.

    Args:
        model: Model that reads the prompt; empty if the request names none.
        part_ids: Identities of the parts; only the first ``MAX_PARTS`` are signed.
    """
    return tuple(
        PartSignature(_digest(model.encode(), part_id.encode()))
        for part_id in islice(dict.fromkeys(part_ids), MAX_PARTS)
    )


def _digest(*texts: bytes | memoryview) -> Signature:
    """Return the digest of several texts, which cannot run into each other."""
    digest = blake2b(digest_size=SIGNATURE_BYTES)
    for text in texts:
        digest.update(len(text).to_bytes(LENGTH_BYTES, "big"))
        digest.update(text)
    return Signature(digest.digest())
