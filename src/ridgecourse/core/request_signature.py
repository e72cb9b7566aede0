"""Signature of a request: equal for requests that are the same to an engine."""

from hashlib import blake2b

from ridgecourse.core.ids import AccountName, RequestSignature

SIGNATURE_BYTES = 16
LENGTH_BYTES = 8


def sign_request(
    account: AccountName | None, method: str, host: str, target: str, body: bytes | None
) -> RequestSignature:
    """Return the digest of a request, independent of its headers and the attempt.

    Args:
        account: Account of the client; None for a public request.
        method: HTTP method as sent.
        host: Host without a port.
        target: Path and query as sent.
        body: Body of the request; None for none.
    """
    digest = blake2b(digest_size=SIGNATURE_BYTES)
    names = (account or "", method, host, target)
    for part in (*(name.encode() for name in names), body or b""):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return RequestSignature(digest.digest())
