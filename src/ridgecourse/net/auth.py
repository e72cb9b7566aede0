"""Proof that a request comes from a process of this system.

Requests between processes carry an HMAC over method, path, time and body made
with a key from the settings. Operators and callers use bearer tokens instead.
"""

import hmac
from hashlib import sha256
from time import time

from blake3 import blake3

AUTH_HEADER = "Ridgecourse-Auth"
MAX_CLOCK_SKEW = 300.0
"""Seconds; a captured request can be sent again no longer than this."""


def sign_request(key: str, method: str, path: str, body: bytes = b"") -> str:
    """Return the value of the authentication header for a request.

    Without a key it proves nothing, and nothing is checked: the instances then
    stand in a network that only the system reaches.
    """
    if not key:
        return ""
    stamp = str(int(time()))
    return f"{stamp}:{_mac(key, stamp, method, path, body)}"


def verify_request(
    key: str, header: str, method: str, path: str, body: bytes = b""
) -> bool:
    """Tell whether a header proves that its sender holds the key."""
    if not key:
        return True
    stamp, _, mac = header.partition(":")
    if not stamp.isdecimal() or abs(time() - int(stamp)) > MAX_CLOCK_SKEW:
        return False
    expected = _mac(key, stamp, method, path, body)
    return hmac.compare_digest(mac.encode(), expected.encode())


def _mac(key: str, stamp: str, method: str, path: str, body: bytes) -> str:
    digest = blake3(body).hexdigest()
    text = f"{stamp}\n{method}\n{path}\n{digest}"
    return hmac.new(key.encode(), text.encode(), sha256).hexdigest()


def token_digest(token: str) -> str:
    """Return the form in which settings and configuration keep a token."""
    return blake3(token.encode()).hexdigest()


def bearer_token(header: str) -> str:
    """Return the token of an Authorization header, empty if there is none."""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
