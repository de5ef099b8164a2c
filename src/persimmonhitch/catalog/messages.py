"""Messages on the configuration, between entries and from entries to sidecars."""

from dataclasses import dataclass
from typing import Final

from ..ids import ConfigVersion
from ..wire.codec import message
from .changes import Change
from .snapshots import SnapshotPart

UNSOLICITED: Final = 0
"""Nonce of a push that answers no pull."""


@message(50)
@dataclass(frozen=True)
class ConfigPull:
    """Request for the changes after a version.

    The answer repeats ``nonce``. Otherwise an answer that waited in a socket
    buffer while its reader was frozen would count as a fresh answer.
    """

    after_version: ConfigVersion
    nonce: int


@message(51)
@dataclass(frozen=True)
class ConfigPush:
    """Changes in ascending order, and the version of the sender.

    ``confirmed`` is false while no source has answered the sender since its last
    freeze. ``store_ok`` is false while the sender has to watch the store but
    cannot read it.
    """

    version: ConfigVersion
    confirmed: bool
    store_ok: bool
    nonce: int
    changes: tuple[Change, ...]


@message(52)
@dataclass(frozen=True)
class ConfigSnapshot:
    """Part of a catalog, for a peer that lags beyond the retained changes."""

    confirmed: bool
    nonce: int
    part: SnapshotPart


@message(53)
@dataclass(frozen=True)
class ConfigNotice:
    """Notice of a newer version to a sidecar that reported an older one."""

    version: ConfigVersion
