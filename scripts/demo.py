"""Demo session: stand-ins, two entries, three sidecars, a planner and two requests."""

import signal
import sys
import threading

from fleet import Fleet, start_fleet


def send_requests(fleet: Fleet) -> bool:
    """Send a streamed chat and a service request; return whether both succeeded."""
    chat = fleet.chat("entry-1", "fretes", "barge slot confirmed", 6, stream=True)
    print("streamed chat through entry-1:")
    print(chat.body.decode())
    path = "/v1/services/ledger/manifests/7"
    call = fleet.request("entry-2", "GET", path, "fretes")
    print(f"service request through entry-2: {call.status} {call.body.decode()}")
    succeeded = chat.status == 200 and chat.body.endswith(b"data: [DONE]\n\n")
    return succeeded and call.status == 200 and call.json()["path"] == "/manifests/7"


def print_locations(fleet: Fleet) -> None:
    """Print the locations of logs, traces and metrics."""
    print(f"logs, one key=value line per event: {fleet.folder}/*.log")
    print(f"traces, a span for each hop: grep event=span {fleet.folder}/*.log")
    print(f"metrics: {fleet.urls['entry-1']}/metrics")


def wait_for_signal(fleet: Fleet) -> None:
    """Keep the fleet running until SIGINT or SIGTERM."""
    urls = ",".join(fleet.urls[name] for name in ("entry-1", "entry-2"))
    key = fleet.keys["fretes"]
    print(f"entries={urls} key={key} model=tiny-chat service=ledger", flush=True)
    stop = threading.Event()
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, lambda *_: stop.set())
    stop.wait()


def main(args: list[str]) -> int:
    """Run the demo; return 0 if both requests succeeded and every process exited."""
    fleet = Fleet()
    succeeded = False
    try:
        start_fleet(fleet)
        fleet.planner("planner").wait_started()
        succeeded = send_requests(fleet)
        print_locations(fleet)
        if "--stay" in args:
            wait_for_signal(fleet)
    finally:
        killed = fleet.stop_all()
    if killed:
        print(f"had to be killed: {', '.join(killed)}")
    print("demo succeeded" if succeeded and not killed else "demo failed")
    return 0 if succeeded and not killed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
