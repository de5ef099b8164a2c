"""Run a program: load settings, start, wait for a signal, stop, flush logs."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, Protocol, TypeVar

from returns.result import Success

from ..observe.logs import flush_logs, log, start_logs
from ..settings import load, load_or_exit
from .lifecycle import Lifecycle
from .ports import StartCancelled
from .threads import log_failed_threads

S = TypeVar("S", bound="HasVm")

EXIT_START_FAILED: Final = 1
MAX_SETTINGS_WAIT_S: Final = 2.0
SETTINGS_RETRY_INTERVAL_S: Final = 0.05


class HasVm(Protocol):
    """Settings that contain the name of the VM."""

    @property
    def vm(self) -> str:
        """Name of this VM."""


class Service(Protocol):
    """A program that ``run_service`` can start and stop."""

    def start(self) -> None:
        """Start serving requests."""

    def stop(self, lifecycle: Lifecycle) -> None:
        """Shut down gracefully: let requests in progress complete."""


def wait_for_settings(settings_type: type[S], path: Path) -> tuple[S, float]:
    """Wait until the settings are valid; return them and the seconds waited.

    Whoever writes the file may not be done when the process starts. Nothing is written
    meanwhile: an output that nobody reads would block the start or end it.
    """
    began_at = time.monotonic()
    waited_s = 0.0
    while waited_s < MAX_SETTINGS_WAIT_S:
        result = load(settings_type, path)
        if isinstance(result, Success):
            return result.unwrap(), waited_s
        time.sleep(SETTINGS_RETRY_INTERVAL_S)
        waited_s = time.monotonic() - began_at
    return load_or_exit(settings_type, path), waited_s


def run_service(
    name: str,
    settings_type: type[S],
    args: dict[str, Any],
    build: Callable[[S, Lifecycle], Service],
) -> int:
    """Run a program until a signal stops it; return its exit code.

    Parameters
    ----------
    name : str
        Name of the program in the logs.
    settings : type
        Dataclass that the settings file is loaded into.
    args : dict
        Parsed command line with the options ``--settings`` and ``--check``.
    build : callable
        Creates the service from its settings.
    """
    path = Path(args["--settings"])
    if args["--check"]:
        load_or_exit(settings_type, path)
        return 0
    cfg, waited_s = wait_for_settings(settings_type, path)
    lifecycle = Lifecycle()
    # Block signals before the log thread starts: a thread that does not block them
    # would receive them with their default action.
    lifecycle.install_signals()
    start_logs(name, cfg.vm)
    log_failed_threads()
    if waited_s:
        log("settings_late", waited=waited_s)
    try:
        service = build(cfg, lifecycle)
        service.start()
    except StartCancelled:
        log("start_cancelled")
        flush_logs()
        return 0
    except OSError as exc:
        log("start_failed", error=str(exc))
        flush_logs()
        return EXIT_START_FAILED
    lifecycle.on_stop(name, lambda: service.stop(lifecycle))
    lifecycle.wait_for_stop()
    lifecycle.stop()
    flush_logs()
    return 0
