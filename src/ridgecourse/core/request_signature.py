"""What makes two requests the same one, as far as engines are concerned."""

from hashlib import blake2b

from ridgecourse.core.ids import AccountName, RequestSignature

SIGNATURE_BYTES = 16
LENGTH_BYTES = 8


def sign_request(
    account: AccountName | None, method: str, host: str, target: str, body: bytes | None
) -> RequestSignature:
    """Return the digest of a request; its attempts and headers do not count.

    Args:
        account: Whose request it is; None for a public one.
        method: As sent.
        host: Without a port.
        target: Path and query as sent.
        body: The body; None if it has none.
    """
    digest = blake2b(digest_size=SIGNATURE_BYTES)
    names = (account or "", method, host, target)
    for part in (*(name.encode() for name in names), body or b""):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return RequestSignature(digest.digest())
