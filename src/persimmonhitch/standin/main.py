"""Small stand-ins for the platform and the upstreams.

Usage:
  persimmonhitch-standin store [--host=H] [--port=P]
  persimmonhitch-standin engine [--host=H] [--port=P] [--models=LIST] [--step=S]
                                [--memory=G] [--load-time=S] [--unfenced]
  persimmonhitch-standin service [--host=H] [--port=P] [--delay=S]
  persimmonhitch-standin --help

Options:
  --host=H       Address to listen on [default: 127.0.0.1].
  --port=P       TCP port; 0 takes a free one [default: 0].
  --models=LIST  Models loaded at the start, each NAME:GIB:REVISION, with commas
                 [default: ].
  --memory=G     GiB of accelerator memory [default: 80].
  --load-time=S  Seconds that a load takes [default: 0.1].
  --unfenced     Take orders with old fencing numbers too.
  --step=S       Seconds between two tokens of one request [default: 0.005].
  --delay=S      Seconds that each call takes [default: 0].
"""

import sys
from typing import Any

from docopt import docopt

from ..kernel import Lifecycle
from ..observe.logs import announce
from ..web import WebServer
from ..web.server import App
from .engine import EngineApp, EngineSpeed
from .engine_orders import EngineOrders
from .service import ServiceApp
from .store_server import StoreApp
from .store_state import StoreState

THREADS = 64


def _app(args: dict[str, Any]) -> App:
    if args["store"]:
        return StoreApp(StoreState())
    if args["engine"]:
        orders = EngineOrders(
            float(args["--memory"]), float(args["--load-time"]), not args["--unfenced"]
        )
        for text in filter(None, args["--models"].split(",")):
            orders.preload(text)
        return EngineApp(orders, EngineSpeed(step=float(args["--step"])))
    return ServiceApp(float(args["--delay"]))


def main(argv: list[str] | None = None) -> int:
    """Run one simulated service until a signal stops it."""
    args = docopt(__doc__, argv)
    life = Lifecycle()
    life.install_signals()
    server = WebServer(_app(args), args["--host"], int(args["--port"]), THREADS)
    server.start()
    announce(f"listening port={server.port}")
    life.wait_for_stop()
    server.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
