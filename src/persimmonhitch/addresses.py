"""Form of the addresses that other writers state."""

import re
from typing import Final

HOST: Final = re.compile(r"[A-Za-z0-9.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]")
"""Form of a host name or an address."""
MAX_PORT: Final = 65535
