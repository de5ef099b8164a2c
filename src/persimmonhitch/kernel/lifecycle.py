"""Order of start and stop for the parts of one process, and its signals."""

import signal
import threading
from collections.abc import Callable
from typing import Final

from ..observe.logs import log

SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Lifecycle:
    """Runs stop steps in reverse order of their entry.

    The first signal asks for a graceful stop; the second one sets ``forced``,
    which ends every wait at once.
    """

    def __init__(self) -> None:
        self.stopping = threading.Event()
        self.forced = threading.Event()
        self._reload: Callable[[], None] | None = None
        self._stop_steps: list[tuple[str, Callable[[], None]]] = []

    def on_stop(self, name: str, step: Callable[[], None]) -> None:
        """Enter a step to run at the stop; the last one entered runs first."""
        self._stop_steps.append((name, step))

    def on_reload(self, step: Callable[[], None]) -> None:
        """Set what SIGHUP asks for; without it the signal is logged alone."""
        self._reload = step

    def install_signals(self) -> None:
        """Let SIGTERM and SIGINT ask for the stop; before any thread starts.

        SIGHUP asks to read the settings anew; by default it would end the process.

        A thread of its own waits for them. A handler would run on the main thread
        between any two of its steps: while that thread holds an event's lock, the
        handler waits for the same lock for ever, and the process ignores SIGTERM.
        One that was just thawed may even have its handler run by no thread at all.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        threading.Thread(target=self._on_signals, name="signals", daemon=True).start()

    def _on_signals(self) -> None:
        while True:
            if signal.sigwait(SIGNALS) == signal.SIGHUP:
                self._reload_settings()
                continue
            if self.stopping.is_set():
                self.forced.set()
            self.stopping.set()

    def _reload_settings(self) -> None:
        try:
            if self._reload is not None:
                self._reload()
            log("reloaded", changed=self._reload is not None)
        except Exception as exc:
            log("reload_failed", error=repr(exc))

    def wait(self) -> None:
        """Return once a stop is asked for."""
        self.stopping.wait()

    def stop(self) -> None:
        """Run all steps; one that fails is logged and the rest still run."""
        self.stopping.set()
        for name, step in reversed(self._stop_steps):
            try:
                step()
            except Exception as exc:
                log("stop_step_failed", step=name, error=repr(exc))
            else:
                log("stopped", step=name)
