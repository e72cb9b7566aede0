"""Authenticates requests between processes of the system.

A request between processes carries an HMAC over its method, path, time and body,
computed with a key from the settings. Operators and clients use bearer tokens.
"""

import hmac
from hashlib import sha256
from time import time

from blake3 import blake3

AUTH_HEADER = "Ridgecourse-Auth"
MAX_CLOCK_SKEW_SECONDS = 300.0
"""Largest accepted difference in seconds between the time of a signature and the local
clock. A captured request can be replayed for no longer than this."""


def sign_request(key: str, method: str, path: str, body: bytes = b"") -> str:
    """Return the value of the authentication header for a request.

    Without a key the header is empty and no signature is checked. The instances
    must then be in a network that only processes of the system can reach.

    Args:
        key: The key shared by the processes of the system; may be empty.
        method: HTTP method.
        path: Path of the request.
        body: Body of the request.
    """
    if not key:
        return ""
    timestamp = str(int(time()))
    return f"{timestamp}:{_mac(key, timestamp, method, path, body)}"


def verify_request(
    key: str, header: str, method: str, path: str, body: bytes = b""
) -> bool:
    """Check whether the sender of a request holds the shared key.

    Args:
        key: The shared key; if empty, every request is accepted.
        header: Value of the authentication header.
        method: HTTP method.
        path: Path of the request.
        body: Body of the request.

    Returns:
        Whether the signature is valid and its time within the limit.
    """
    if not key:
        return True
    timestamp, _, mac = header.partition(":")
    if (
        not timestamp.isdecimal()
        or abs(time() - int(timestamp)) > MAX_CLOCK_SKEW_SECONDS
    ):
        return False
    expected = _mac(key, timestamp, method, path, body)
    return hmac.compare_digest(mac.encode(), expected.encode())


def _mac(key: str, timestamp: str, method: str, path: str, body: bytes) -> str:
    digest = blake3(body).hexdigest()
    text = f"{timestamp}\n{method}\n{path}\n{digest}"
    return hmac.new(key.encode(), text.encode(), sha256).hexdigest()


def token_digest(token: str) -> str:
    """Return the digest that settings and configuration store in place of a token."""
    return blake3(token.encode()).hexdigest()


def bearer_token(header: str) -> str:
    """Return the bearer token of an Authorization header, or an empty string."""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
