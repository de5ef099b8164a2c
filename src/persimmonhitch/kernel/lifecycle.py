"""Shutdown order and signal handling of one process."""

import signal
import threading
from collections.abc import Callable
from typing import Final

from ..observe.logs import log

SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Lifecycle:
    """Runs the registered stop steps in reverse order of registration.

    The first SIGTERM or SIGINT requests a graceful stop. The second sets ``forced``,
    which ends every wait of the shutdown immediately.
    """

    def __init__(self) -> None:
        self.stopping = threading.Event()
        self.forced = threading.Event()
        self._reload: Callable[[], None] | None = None
        self._reload_missed = False
        self._reload_lock = threading.Lock()
        self._stop_steps: list[tuple[str, Callable[[], None]]] = []

    def on_stop(self, name: str, step: Callable[[], None]) -> None:
        """Register a stop step; the step registered last runs first."""
        self._stop_steps.append((name, step))

    def on_reload(self, callback: Callable[[], None]) -> None:
        """Set the function that SIGHUP runs; without one, SIGHUP is only logged.

        The function runs at once if SIGHUP has arrived before.
        """
        with self._reload_lock:
            self._reload = callback
            missed, self._reload_missed = self._reload_missed, False
        if missed:
            self._reload_settings()

    def install_signals(self) -> None:
        """Handle SIGTERM, SIGINT and SIGHUP; call this before any thread starts.

        SIGTERM and SIGINT request a stop. SIGHUP reloads the settings; its default
        action would terminate the process.

        A dedicated thread waits for the signals. A Python signal handler runs on the
        main thread between two bytecodes: if that thread holds an event's lock, the
        handler deadlocks on the same lock and the process ignores SIGTERM. In a process
        that was just resumed after a freeze, the handler may not run on any thread.
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
        with self._reload_lock:
            callback = self._reload
            self._reload_missed = callback is None
        try:
            if callback is not None:
                callback()
            log("reloaded", changed=callback is not None)
        except Exception as exc:
            log("reload_failed", error=repr(exc))

    def wait_for_stop(self) -> None:
        """Block until a stop is requested."""
        self.stopping.wait()

    def stop(self) -> None:
        """Run all stop steps; log a step that fails and run the remaining ones."""
        self.stopping.set()
        for name, step in reversed(self._stop_steps):
            try:
                step()
            except Exception as exc:
                log("stop_step_failed", step=name, error=repr(exc))
            else:
                log("stopped", step=name)
