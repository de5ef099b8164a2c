"""Run a program: load settings, start, wait for a signal, stop, flush logs."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol, TypeVar

from ..observe.logs import flush_logs, start_logs
from ..settings import load_or_exit
from .lifecycle import Lifecycle
from .threads import log_failed_threads

S = TypeVar("S", bound="HasVm")


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
    cfg = load_or_exit(settings_type, Path(args["--settings"]))
    if args["--check"]:
        return 0
    lifecycle = Lifecycle()
    # Block signals before the log thread starts: a thread that does not block them
    # would receive them with their default action.
    lifecycle.install_signals()
    start_logs(name, cfg.vm)
    log_failed_threads()
    service = build(cfg, lifecycle)
    service.start()
    lifecycle.on_stop(name, lambda: service.stop(lifecycle))
    lifecycle.wait_for_stop()
    lifecycle.stop()
    flush_logs()
    return 0
