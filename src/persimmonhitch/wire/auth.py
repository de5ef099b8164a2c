"""Authentication of links: an HMAC proof that the client has the fleet's secret."""

import hashlib
import hmac
import re
import secrets
from typing import Final

HEADER: Final = "Link-Proof"
MAX_CLOCK_SKEW_S: Final = 300.0
"""Maximum accepted clock difference between two VMs."""
TIMESTAMP: Final = re.compile(r"[0-9]{1,15}")


def _digest(secret: bytes, timestamp: str, nonce: str) -> str:
    text = f"{timestamp}.{nonce}".encode()
    return hmac.new(secret, text, hashlib.sha256).hexdigest()


def sign(secret: bytes, wall_time: float) -> str:
    """Return the header value for a link that is opened at ``wall_time``."""
    timestamp, nonce = str(int(wall_time)), secrets.token_hex(8)
    return f"{timestamp}.{nonce}.{_digest(secret, timestamp, nonce)}"


def verify(secret: bytes, proof: str, wall_time: float) -> bool:
    """Return whether the header value ``proof`` was signed recently with ``secret``."""
    parts = proof.split(".")
    if not proof.isascii() or len(parts) != 3 or not TIMESTAMP.fullmatch(parts[0]):
        return False
    timestamp, nonce, digest = parts
    if abs(wall_time - int(timestamp)) > MAX_CLOCK_SKEW_S:
        return False
    return hmac.compare_digest(digest, _digest(secret, timestamp, nonce))
