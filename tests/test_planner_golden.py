"""Planners, sidecars and engines as processes, with failures during orders."""

import signal

import pytest
from fleet import Fleet, wait_for
from golden_session import Session

from persimmonhitch.store.objects import Kind

ACCOUNTS = "[account fretes]\nplan = desk\n"
SIZE = 6
ADAPTER = "m-b-lora"
ENGINE = ("--memory=34", "--load-time=0.2", "--unfenced")
ORDERS = "34\n[orders]\nlimit = 1\nlist_period = 0.1\ntimeout = 5"
"""Accelerator memory, and settings that settle orders within a second."""


def plans(models):
    """Return the list of plans with these models; a copy uses 8 GiB."""
    sections = [
        f"[model {name}]\nmemory = {SIZE}\nkv_memory = 2\nrevision = {revision}\n"
        for name, revision in models.items()
    ]
    sections.append(f"[model {ADAPTER}]\nmemory = 1\nrevision = r1\nbase = m-b\n")
    desk = "rate = 5000\nburst = 20000\nweight = 1\npriority = interactive\n"
    names = ", ".join([*models, ADAPTER])
    return f"[plan desk]\n{desk}models = {names}\nservices =\n" + "".join(sections)


class PlacementFleet:
    """A fleet with two planners and with models that are not loaded yet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.exceeded = False
        self.models = dict.fromkeys(["m-a", "m-b", "m-c"], "r1")
        fleet.standin("store", "store")
        for name in ("engine-1", "engine-2"):
            fleet.standin(name, "engine", *ENGINE)
        fleet.record_urls("port", "store", "engine-1", "engine-2")
        fleet.entry("entry")
        self.start_sidecars()
        fleet.apply_lists(ACCOUNTS, plans(self.models))
        fleet.issue_key("fretes")
        fleet.record_urls("http", "entry")
        fleet.planner("planner-1")
        wait_for(lambda: "event=lease_taken" in self.log("planner-1"), "the lease")
        fleet.planner("planner-2")

    def start_sidecars(self, *names):
        for name in names or ("e1", "e2"):
            self.fleet.sidecar(name, f"engine-{name[1]}", "engine", memory=ORDERS)

    def add_model(self, name, revision="r1"):
        self.models[name] = revision
        self.fleet.apply_lists(ACCOUNTS, plans(self.models))

    def log(self, name):
        return self.fleet.processes[name].log.read_text()

    def get_engine(self, name, path):
        return self.fleet.http.request("GET", self.fleet.urls[name] + path).json()

    def set_faults(self, **faults):
        for name in ("engine-1", "engine-2"):
            self.fleet.http.request(
                "POST", self.fleet.urls[name] + "/faults", json=faults
            )

    def resident(self, *names):
        return [
            (item["id"], item["revision"])
            for name in names or ("engine-1", "engine-2")
            for item in self.get_engine(name, "/v1/models")["data"]
        ]

    def engine_of(self, model):
        on_first = model in [name for name, _ in self.resident("engine-1")]
        return "engine-1" if on_first else "engine-2"

    def statuses(self):
        return [
            self.fleet.chat("entry", "fretes", "a", 1, model=model).status
            for model in [*self.models, ADAPTER]
        ]

    def all_answer(self):
        wait_for(lambda: set(self.statuses()) == {200}, "an answer of every model")
        return "yes"

    def restart_engine(self, name):
        self.memory_exceeded()
        self.fleet.processes[name].kill()
        self.start_engine(name)

    def start_engine(self, name):
        port = self.fleet.urls[name].rsplit(":", 1)[1]
        self.fleet.standin(name, "engine", *ENGINE, f"--port={port}")
        self.fleet.processes[name].ports()

    def memory_exceeded(self):
        states = [self.get_engine(name, "/memory") for name in ("engine-1", "engine-2")]
        self.exceeded = self.exceeded or any(state["violated"] for state in states)
        return self.exceeded

    def lease(self):
        return self.fleet.store().get(Kind.LEASE, "planner").unwrap().spec


@pytest.fixture
def placed(tmp_path):
    with Fleet(tmp_path) as fleet:
        yield PlacementFleet(fleet)


def test_session_of_orders_under_failure(placed):
    """Engines, sidecars and planners crash or pause during orders.

    Orders are lost, delayed, or duplicated by retries. The engines accept orders with
    any fencing token. After each failure callers reach every model again, and no
    engine is ever loaded beyond its memory.
    """
    session = Session("placement")
    session.add(
        "three models and an adapter on empty engines, all answer:", placed.all_answer()
    )

    killed = placed.engine_of("m-a")
    placed.fleet.processes[killed].kill()
    session.add("an engine killed and not replaced:", placed.all_answer())
    placed.start_engine(killed)

    placed.set_faults(late=1, late_by=0.8)
    placed.add_model("m-d")
    wait_for(lambda: "m-d" in placed.log("planner-1"), "the order for m-d")
    for name in ("e1", "e2"):
        placed.fleet.processes[f"sidecar-{name}"].kill()
    placed.start_sidecars()
    session.add("sidecars killed during a late load, all answer:", placed.all_answer())
    session.add("an engine had more than its memory:", placed.memory_exceeded())

    placed.set_faults(lost=1, answers_lost=1)
    for name in ("m-e", "m-f", "m-g"):
        placed.add_model(name)
    session.add("loads and answers to loads lost, all answer:", placed.all_answer())

    placed.add_model("m-a", "r2")
    old = ("m-a", "r1")
    wait_for(lambda: old not in placed.resident(), "unload of the old revision")
    session.add("revision changed, all answer:", placed.all_answer())

    placed.fleet.set_faults(down=True)
    wait_for(lambda: "caretaker=True" in placed.log("planner-1"), "the expiry")
    for name in ("engine-1", "engine-2"):
        placed.restart_engine(name)
    session.add("store down, both engines replaced, all answer:", placed.all_answer())
    placed.fleet.set_faults()
    wait_for(lambda: placed.lease()["epoch"] == 2, "a leader")
    session.add("store available again, epoch:", placed.lease()["epoch"])

    name = placed.lease()["holder"]
    paused = placed.fleet.processes[name]
    paused.signal(signal.SIGSTOP)
    wait_for(lambda: placed.lease()["epoch"] == 3, "the next leader")
    session.add("leader paused beyond its lease, epoch:", placed.lease()["epoch"])
    before = placed.log(name).count("event=lease_lapsed")
    sent = placed.log(name).count("event=order_sent")
    paused.signal(signal.SIGCONT)
    wait_for(lambda: placed.log(name).count("event=lease_lapsed") > before, "an expiry")
    session.add("an engine had more than its memory:", placed.memory_exceeded())
    for engine in ("engine-1", "engine-2"):
        placed.restart_engine(engine)
    session.add("both engines replaced afterwards, all answer:", placed.all_answer())
    new_orders = placed.log(name).count("event=order_sent") - sent
    session.add("orders of the resumed planner:", new_orders)

    leader = placed.fleet.processes[placed.lease()["holder"]]
    session.add("leader asked to stop, exits with", leader.stop())
    wait_for(lambda: placed.lease()["epoch"] == 4, "the next leader")
    session.add("next leader at once, epoch:", placed.lease()["epoch"])
    session.add("an engine had more than its memory:", placed.memory_exceeded())
    session.check()
