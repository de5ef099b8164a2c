"""Proof that the opener of a link holds the fleet's secret."""

import hashlib
import hmac
import secrets
from typing import Final

HEADER: Final = "Link-Proof"
MAX_SKEW: Final = 300.0
"""Seconds between the clocks of two VMs that are still accepted."""


def _digest(secret: bytes, stamp: str, nonce: str) -> str:
    text = f"{stamp}.{nonce}".encode()
    return hmac.new(secret, text, hashlib.sha256).hexdigest()


def sign(secret: bytes, now: float) -> str:
    """Return the header's value for a link opened at wall time ``now``."""
    stamp, nonce = str(int(now)), secrets.token_hex(8)
    return f"{stamp}.{nonce}.{_digest(secret, stamp, nonce)}"


def verify(secret: bytes, value: str, now: float) -> bool:
    """Return whether the header's value proves the secret."""
    parts = value.split(".")
    if len(parts) != 3 or not parts[0].isdigit():
        return False
    stamp, nonce, digest = parts
    if abs(now - int(stamp)) > MAX_SKEW:
        return False
    return hmac.compare_digest(digest, _digest(secret, stamp, nonce))
