"""Settings of the C library's memory allocator."""

import ctypes
from typing import Final

M_MMAP_THRESHOLD: Final = -3
M_ARENA_MAX: Final = -8
"""Parameters of ``mallopt``, as in the C library's ``malloc.h``."""
LARGE_BLOCK_BYTES: Final = 128 * 1024
ARENAS: Final = 1


def limit_memory() -> bool:
    """Keep little of what was freed; return False if not supported.

    The allocator otherwise keeps freed blocks of up to 32 MB for each of its arenas,
    and each thread has an arena of its own: a burst of large bodies on many threads
    then takes several times their size. Since one thread at a time has the interpreter,
    more arenas save hardly any time.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    is_returned = mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    return bool(mallopt(M_ARENA_MAX, ARENAS) and is_returned)
