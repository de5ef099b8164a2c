"""Proof that the opener of a link holds the fleet's secret."""

import hashlib
import hmac
import secrets
from typing import Final

HEADER: Final = "Link-Proof"
MAX_CLOCK_SKEW_S: Final = 300.0
"""Seconds between the clocks of two VMs that are still accepted."""


def _digest(secret: bytes, timestamp: str, nonce: str) -> str:
    text = f"{timestamp}.{nonce}".encode()
    return hmac.new(secret, text, hashlib.sha256).hexdigest()


def sign(secret: bytes, wall_time: float) -> str:
    """Return the header's value for a link opened at wall time ``now``."""
    timestamp, nonce = str(int(wall_time)), secrets.token_hex(8)
    return f"{timestamp}.{nonce}.{_digest(secret, timestamp, nonce)}"


def verify(secret: bytes, proof: str, wall_time: float) -> bool:
    """Return whether the header's value proves the secret."""
    parts = proof.split(".")
    if len(parts) != 3 or not parts[0].isdigit():
        return False
    timestamp, nonce, digest = parts
    if abs(wall_time - int(timestamp)) > MAX_CLOCK_SKEW_S:
        return False
    return hmac.compare_digest(digest, _digest(secret, timestamp, nonce))
