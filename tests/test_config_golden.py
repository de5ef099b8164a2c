"""Sessions on keys and configuration with isolated, frozen and replaced entries."""

import re
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

import pytest
from fleet import ACCOUNTS, Fleet, wait_for
from fleet import PLANS as FLEET_PLANS
from golden_session import Session
from relay import Relay

from persimmonhitch.catalog.gate import FREEZE_GAP_S

PROPAGATION_LIMIT_S = 6.0
"""Seconds within which a change must be in force on all entries."""
ENTRIES = ("entry-1", "entry-2", "entry-3")
SLOT = "/v1/services/ledger/slots"
SLOW = "/v1/services/slow/slots"
PLANS = (
    FLEET_PLANS.replace("services = ledger", "services = ledger, slow")
    + "[service slow]\ncost = 1\n"
)
ONE_REQUEST = "8\n[limits]\nconcurrency = 1"
"""Memory, irrelevant for a service, and the limit of concurrent requests."""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("config")) as running:
        running.standin("store", "store")
        running.standin("service-1", "service")
        running.standin("service-2", "service", "--delay=1.5")
        running.record_urls("port", "store", "service-1", "service-2")
        running.relay = Relay(int(running.urls["store"].rpartition(":")[2]))
        running.urls["relay"] = f"http://127.0.0.1:{running.relay.port}"
        running.entry("entry-1")
        running.entry("entry-2", store="relay")
        running.entry("entry-3")
        running.sidecar("s1", "service-1", "service", "ledger")
        running.sidecar("s2", "service-2", "service", "slow", memory=ONE_REQUEST)
        running.apply_lists(ACCOUNTS, PLANS)
        running.issue_key("fretes")
        running.record_urls("http", *ENTRIES)
        for name in ENTRIES:
            running.wait_ready(name, 2)
        for name in ENTRIES:
            linked = running.processes[name].log
            wait_for(
                lambda log=linked: log.read_text().count("event=peer_linked") >= 2,
                "links between entries",
            )
        yield running
        running.relay.close()


def version(fleet, entry):
    return fleet.http.request("GET", fleet.urls[entry] + "/readyz").json()["version"]


def post_slot(fleet, entry, account="fretes", path=SLOT):
    return fleet.request(entry, "POST", path, account)


def wait_version(fleet, target, entries=ENTRIES):
    """Wait until a version is in force on all entries; return the seconds waited."""
    started_at = time.monotonic()
    for entry in entries:
        wait_for(lambda e=entry: version(fleet, e) >= target, f"{target} at {entry}")
    return time.monotonic() - started_at


def send_request(fleet, entry):
    """Send a booking without reading the response; return its connection."""
    conn = HTTPConnection(fleet.urls[entry].removeprefix("http://"), timeout=30)
    headers = {"Authorization": f"Bearer {fleet.keys['fretes']}"}
    conn.request("POST", SLOT, headers=headers)
    return conn


def active_requests(fleet, entry):
    """Return the number of service requests in progress at an entry."""
    text = fleet.http.request("GET", fleet.urls[entry] + "/metrics").data.decode()
    found = re.search(r'^http_server_active_requests.*"service".* (\S+)$', text, re.M)
    return float(found[1]) if found else 0.0


def run_and_queue(fleet, pool):
    """Start a booking and a second one that queues; return both futures."""
    first = pool.submit(post_slot, fleet, "entry-1", path=SLOW)
    wait_for(lambda: fleet.runs("service-2") == [1], "the first booking to run")
    second = pool.submit(post_slot, fleet, "entry-1", path=SLOW)
    wait_for(lambda: active_requests(fleet, "entry-1") == 2.0, "a queued booking")
    return first, second


def test_withdrawn_keys_session(fleet):
    """A key is withdrawn while one entry has no connection to the store and another
    entry is frozen. All entries must refuse the key after a few seconds, and the
    frozen entry must refuse it immediately after it resumes.
    """
    session = Session("withdrawn_keys")
    wait_version(fleet, 2)
    for name in ENTRIES:
        session.add_reply(f"{name} with a good key", post_slot(fleet, name))
    session.add("entry-2 is cut from the store, then the key is withdrawn")
    fleet.relay.set_cut(True)
    old = fleet.keys["fretes"]
    fleet.withdraw_key("fretes")
    seconds = wait_version(fleet, 3)
    session.add("in force on all three within 6 s:", seconds < PROPAGATION_LIMIT_S)
    for name in ENTRIES:
        session.add_reply(f"{name} with the withdrawn key", post_slot(fleet, name))
    session.add("a new key is issued; one booking runs, another waits behind it")
    fleet.issue_key("fretes")
    wait_version(fleet, 4)
    session.add_reply("entry-2 with the new key", post_slot(fleet, "entry-2"))
    session.add_reply("entry-2 with the old key", post_slot(fleet, "entry-2", old))
    with ThreadPoolExecutor(2) as pool:
        first, second = run_and_queue(fleet, pool)
        session.add("the new key is withdrawn")
        fleet.withdraw_key("fretes")
        session.add_reply("the booking that waits", second.result())
        session.add("the other still runs:", not first.done())
        session.add_reply("the booking that runs", first.result())
    session.add("bookings that ran:", sum(fleet.runs("service-2")))
    fleet.issue_key("fretes")
    wait_version(fleet, 6)
    session.add("entry-3 is frozen, the new key withdrawn, then entry-3 runs again")
    fleet.processes["entry-3"].signal(signal.SIGSTOP)
    end = time.monotonic() + FREEZE_GAP_S + 1.0
    fleet.withdraw_key("fretes")
    wait_version(fleet, 7, ENTRIES[:2])
    conns = [send_request(fleet, "entry-3") for _ in range(8)]
    wait_for(lambda: time.monotonic() > end, "a freeze longer than the gap")
    fleet.processes["entry-3"].signal(signal.SIGCONT)
    statuses = {conn.getresponse().status for conn in conns}
    session.add("eight calls that arrived while it was frozen:", *statuses)
    session.add("calls that the service has run:", sum(fleet.runs("service-1")))
    fleet.relay.set_cut(False)
    session.check()


def test_outage_session(fleet):
    """The store goes down just after an operator's change. Whether or not the change
    was written, all entries must have the same version and none may revert. A new
    entry must refuse requests until it has the configuration from its peers.
    """
    session = Session("config_outage")
    fleet.issue_key("fretes")
    fleet.apply_lists(ACCOUNTS, PLANS.replace("rate = 5000", "rate = 6000"))
    fleet.set_faults(down=True)
    session.add("the store is down since just after a change")
    newest = max(version(fleet, name) for name in ENTRIES)
    seconds = wait_version(fleet, newest)
    session.add("one version on all entries within 6 s:", seconds < PROPAGATION_LIMIT_S)
    for name in ENTRIES:
        session.add_reply(f"{name} in the outage", post_slot(fleet, name))
    run = fleet.ctl("ana", "apply", *write_lists(fleet, "ana", 9000))
    session.add(
        "an operator's change:", run.communicate(timeout=30)[0].partition(":")[0]
    )
    session.add("exit", run.returncode)
    session.add("entry-4 starts and knows nobody")
    fleet.entry("entry-4")
    fleet.record_urls("http", "entry-4")
    session.add_reply("entry-4", post_slot(fleet, "entry-4"))
    session.add("entry-5 starts with entry-1 as its seed")
    link = fleet.processes["entry-1"].ports()["link"]
    fleet.entry("entry-5", seeds=f"127.0.0.1:{link}")
    fleet.record_urls("http", "entry-5")
    wait_version(fleet, newest, ["entry-5"])
    fleet.wait_ready("entry-5", 2)
    session.add_reply("entry-5", post_slot(fleet, "entry-5"))
    session.add("the store is back, and a key is withdrawn")
    fleet.set_faults()
    fleet.withdraw_key("fretes")
    all_entries = (*ENTRIES, "entry-4", "entry-5")
    seconds = wait_version(fleet, newest + 1, all_entries)
    session.add("in force on all five within 6 s:", seconds < PROPAGATION_LIMIT_S)
    fleet.wait_ready("entry-4", 2)
    for name in all_entries:
        session.add_reply(f"{name} with the withdrawn key", post_slot(fleet, name))
    session.check()


def write_lists(fleet, name, rate):
    """Write the two lists with ``rate`` in the first plan; return their paths."""
    accounts, plans = fleet.folder / "accounts.ini", fleet.folder / f"{name}.ini"
    accounts.write_text(ACCOUNTS)
    plans.write_text(PLANS.replace("rate = 5000", f"rate = {rate}"))
    return str(accounts), str(plans)


def test_two_operators_race_over_http(fleet):
    """Two operators repeatedly apply different lists at the same time.

    Two concurrent successes would drop the rate of one operator; two conflicts
    would block both operators.
    """
    for race in range(3):
        rates = {name: 7000 + 100 * race + i for i, name in enumerate(("ana", "bo"))}
        runs = {
            name: fleet.ctl(name, "apply", *write_lists(fleet, f"{name}{race}", rate))
            for name, rate in rates.items()
        }
        texts = {name: run.communicate(timeout=30)[0] for name, run in runs.items()}
        codes = {name: run.returncode for name, run in runs.items()}
        # Both may succeed: a late command reads the other change and is based on it.
        assert 0 in codes.values() and set(codes.values()) <= {0, 3}, texts
        if 3 in codes.values():
            loser = next(name for name, code in codes.items() if code == 3)
            assert "changed by another" in texts[loser]
    run = fleet.ctl("ana", "status")
    rows = run.communicate(timeout=30)[0].splitlines()
    ready = [row.split() for row in rows if row.startswith("entry-")]
    started = [name for name in fleet.urls if name.startswith("entry-")]
    assert len(ready) == len(started) and all(row[2] == "ready" for row in ready), rows
    assert {row[3] for row in ready} == {str(version(fleet, "entry-1"))}


def test_a_slow_store_and_a_lost_answer(fleet):
    """Each call of the store takes 0.2 s, and the answer to an operator's write is
    lost. The command must report success, and all entries must accept the printed
    key within a few seconds.
    """
    fleet.set_faults(delay=0.2, lost_answers=1)
    run = fleet.ctl("ana", "key", "issue", "fretes")
    text = run.communicate(timeout=30)[0]
    assert run.returncode == 0, text
    fleet.keys["fretes"] = text.split()[1]
    assert wait_version(fleet, int(text.split()[-1])) < PROPAGATION_LIMIT_S
    for name in ENTRIES:
        assert post_slot(fleet, name).status == 200
    fleet.withdraw_key("fretes")
    started_at = time.monotonic()
    for name in ENTRIES:
        wait_for(lambda n=name: post_slot(fleet, n).status == 401, "the refusal")
    assert time.monotonic() - started_at < PROPAGATION_LIMIT_S
    fleet.set_faults()
