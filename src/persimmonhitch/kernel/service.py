"""Runs one program from its settings to its last line of log."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol, TypeVar

from ..observe.logs import flush_logs, start_logs
from ..settings import load_or_exit
from .lifecycle import Lifecycle

S = TypeVar("S", bound="HasVm")


class HasVm(Protocol):
    """Settings that name the VM."""

    @property
    def vm(self) -> str:
        """Name of this VM."""


class Service(Protocol):
    """A program that starts and stops."""

    def start(self) -> None:
        """Serve from now on."""

    def stop(self, lifecycle: Lifecycle) -> None:
        """Leave without cutting a request."""


def run_service(
    name: str,
    settings_type: type[S],
    args: dict[str, Any],
    build: Callable[[S, Lifecycle], Service],
) -> int:
    """Run a program until a signal ends it; return its exit code.

    Parameters
    ----------
    name : str
        Name of the program in its logs.
    settings : type
        What its settings file is read into.
    args : dict
        Its command line: ``--settings`` and ``--check``.
    build : callable
        Makes the program from its settings.
    """
    cfg = load_or_exit(settings_type, Path(args["--settings"]))
    if args["--check"]:
        return 0
    lifecycle = Lifecycle()
    # Before the logs: their thread would take the signals by their default.
    lifecycle.install_signals()
    start_logs(name, cfg.vm)
    service = build(cfg, lifecycle)
    service.start()
    lifecycle.on_stop(name, lambda: service.stop(lifecycle))
    lifecycle.wait()
    lifecycle.stop()
    flush_logs()
    return 0
