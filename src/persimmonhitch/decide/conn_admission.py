"""Decide whether to read a new connection, or to close it before anything is read.

Load pattern: for seconds, the load balancer hands most new connections of a zone or
region to one entry. A refusal of a request that was read costs its caller a retry and
the time to come back. A caller whose connection closes before its request was read
connects again at once, and the balancer hands it to another entry.
"""

from enum import Enum


class CloseCause(Enum):
    """Why a new connection is closed before anything is read."""

    THREADS = "threads"
    PROCESSOR = "processor"
