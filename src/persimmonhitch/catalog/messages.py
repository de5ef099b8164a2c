"""Messages by which entries tell each other of the configuration."""

from dataclasses import dataclass
from typing import Final

from ..ids import ConfigVersion
from ..wire.codec import message
from .changes import Change
from .snapshots import SnapshotPart

UNSOLICITED: Final = 0
"""Nonce of a push that answers no question."""


@message(50)
@dataclass(frozen=True)
class ConfigPull:
    """Ask for the changes after a version.

    ``nonce`` comes back in the answer. Without it an answer that lay in a
    socket's buffer while its reader was frozen would pass for a fresh one.
    """

    after_version: ConfigVersion
    nonce: int


@message(51)
@dataclass(frozen=True)
class ConfigPush:
    """Changes in their order, and the sender's version.

    ``steady`` is false while the sender itself has heard from nobody since it
    was frozen; ``watching`` while it can't read the store that it should watch.
    """

    version: ConfigVersion
    confirmed: bool
    store_ok: bool
    nonce: int
    changes: tuple[Change, ...]


@message(52)
@dataclass(frozen=True)
class ConfigSnapshot:
    """Part of the whole catalog, for one who is too far behind for changes."""

    confirmed: bool
    nonce: int
    part: SnapshotPart


@message(53)
@dataclass(frozen=True)
class ConfigNotice:
    """Tell a sidecar, whose report shows an older version, of a newer one."""

    version: ConfigVersion
