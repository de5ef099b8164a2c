"""The process beside each upstream.

Usage:
  persimmonhitch-sidecar --settings=FILE [--check]
  persimmonhitch-sidecar --help

Options:
  --settings=FILE  Settings in INI.
  --check          Check the settings and exit: 0 if good, 2 if not.
"""

from typing import Final

from docopt import docopt

from ..ids import Model, new_incarnation
from ..kernel import Lifecycle
from ..kernel.service import run_service
from ..observe.logs import announce, log
from ..observe.traces import Traces
from ..platform.store_client import StoreClient
from ..store.objects import Kind, Spec
from ..store.registration import Registration
from ..wire.messages import UpstreamKind
from .copies import EngineCopies
from .dispatch import Dispatcher, drain
from .load import LoadMeter
from .server import SidecarServer
from .settings import SidecarSettings
from .upstream import Address, UpstreamCall

TRACE_RATIO: Final = 1.0
STOP_NOTICE_S: Final = 1.0
"""Time between the report that the sidecar stops and the end of the listener."""


class Sidecar:
    """The components of the process."""

    def __init__(self, cfg: SidecarSettings, lifecycle: Lifecycle) -> None:
        self.cfg = cfg
        kind = UpstreamKind(cfg.kind)
        call = UpstreamCall(Address.from_url(cfg.url), kind)
        meter = LoadMeter(cfg.concurrency, kind is UpstreamKind.ENGINE)
        self.incarnation = new_incarnation()
        self.dispatcher = Dispatcher.launch(
            self.incarnation,
            call,
            meter,
            cfg.concurrency,
            cfg.queue_tokens,
            Traces(TRACE_RATIO),
            lifecycle.stopping.set,
        )
        engine = kind is UpstreamKind.ENGINE
        self.copies = EngineCopies(cfg, self._open_on) if engine else None
        self.server = SidecarServer(
            cfg, self.incarnation, self.dispatcher, meter, self.copies
        )
        store = StoreClient(cfg.store, cfg.store_timeout)
        self.registration = Registration(store, Kind.SIDECAR, cfg.upstream)

    @classmethod
    def from_config(cls, cfg: SidecarSettings, lifecycle: Lifecycle) -> "Sidecar":
        """Build the process from its settings."""
        return cls(cfg, lifecycle)

    def _open_on(self, model: Model) -> int:
        return self.dispatcher.open_on(model).get()

    def start(self) -> None:
        """Start the server and register in the store."""
        if self.copies is not None:
            self.copies.start(self._copies_changed)
        self.server.start()
        self.registration.start(self._spec())
        log("started", upstream=self.cfg.upstream, port=self.server.port)
        announce(f"listening link={self.server.port}")

    def _copies_changed(self) -> None:
        self.server.report()
        self.registration.update(self._spec())

    def _spec(self) -> Spec:
        cfg = self.cfg
        return {
            "vm": cfg.vm,
            "zone": cfg.zone,
            "region": cfg.region,
            "host": cfg.host,
            "port": self.server.port,
            "kind": cfg.kind,
            "service": cfg.service,
            "memory": cfg.memory,
            "incarnation": self.incarnation,
            "models": list(self.server.models),
            "draining": self.server.draining,
        }

    def stop(self, lifecycle: Lifecycle) -> None:
        """Stop gracefully: inform the entries and finish running requests.

        Entries learn of the stop from the load report, and from the store's object as
        a second source. A request that was sent before is refused as not run and
        retried elsewhere.
        """
        self.server.draining = True
        self.dispatcher.refuse_new().get()
        self.server.report()
        self.registration.update(self._spec())
        lifecycle.forced.wait(STOP_NOTICE_S)
        cut = drain(self.dispatcher, self.cfg.stop_limit, lifecycle.forced)
        if cut:
            log("stop_cut", requests=cut)
        self.registration.remove()
        if self.copies is not None:
            self.copies.stop()
        self.server.stop()
        self.dispatcher.stop()


def main(argv: list[str] | None = None) -> int:
    """Run the sidecar until a signal stops it."""
    args = docopt(__doc__, argv)
    return run_service("sidecar", SidecarSettings, args, Sidecar.from_config)
