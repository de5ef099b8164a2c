"""Settings of the C library's memory allocator."""

import ctypes
from typing import Final

M_MMAP_THRESHOLD: Final = -3
"""Parameter of ``mallopt``, as in the C library's ``malloc.h``."""
LARGE_BLOCK_BYTES: Final = 128 * 1024


def return_large_blocks() -> bool:
    """Return large blocks to the system as they are freed; False if not supported.

    The allocator otherwise keeps freed blocks of up to 32 MB for each of its arenas: a
    burst of large bodies on many threads then takes several times their size.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
