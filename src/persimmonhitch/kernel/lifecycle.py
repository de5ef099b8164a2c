"""Order of start and stop for the parts of one process, and its signals."""

import signal
import threading
from collections.abc import Callable
from types import FrameType
from typing import Final

from ..observe.logs import log

SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
LOOK_UP: Final = 0.25
"""Seconds between two looks at whether a signal came."""


class Lifecycle:
    """Runs stop steps in reverse order of their entry.

    The first signal asks for a graceful stop; the second one sets ``forced``,
    which ends every wait at once.
    """

    def __init__(self) -> None:
        self.stopping = threading.Event()
        self.forced = threading.Event()
        self._steps: list[tuple[str, Callable[[], None]]] = []

    def on_stop(self, name: str, step: Callable[[], None]) -> None:
        """Enter a step to run at the stop; the last one entered runs first."""
        self._steps.append((name, step))

    def install_signals(self) -> None:
        """Let SIGTERM and SIGINT ask for the stop."""
        for signum in SIGNALS:
            signal.signal(signum, self._on_signal)

    def _on_signal(self, signum: int, _frame: FrameType | None) -> None:
        if self.stopping.is_set():
            self.forced.set()
        self.stopping.set()

    def wait(self) -> None:
        """Return once a stop is asked for.

        The main thread looks up now and then. A signal that reaches a process
        just thawed may be taken by another thread, which does not wake the main
        one: the process would seem to ignore SIGTERM until a second one came.
        """
        while not self.stopping.wait(LOOK_UP):
            continue

    def stop(self) -> None:
        """Run all steps; one that fails is logged and the rest still run."""
        self.stopping.set()
        for name, step in reversed(self._steps):
            try:
                step()
            except Exception as exc:
                log("stop_step_failed", step=name, error=repr(exc))
            else:
                log("stopped", step=name)
