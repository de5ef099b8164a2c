"""Sessions of operators with the command line, compared with golden files."""

import os
import shlex
import shutil
from pathlib import Path

import pytest
from catalog_help import LISTS, writer
from docopt import docopt

from persimmonhitch.catalog import keys
from persimmonhitch.ctl import main as ctl
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store.objects import Kind

GOLDEN = Path(__file__).parent / "golden"


class Session:
    """Runs commands against one store and writes down what they say."""

    def __init__(self, store):
        self.store = store
        self.lines = []

    def note(self, text):
        self.lines.append(f"# {text}")

    def run(self, line, operator="ana"):
        args = docopt(ctl.__doc__, shlex.split(line))
        outcome = ctl.run(args, self.store, writer(self.store, operator))
        exit_code = f"exit {int(outcome.code)}"
        self.lines += [f"{operator}$ ctl {line}", outcome.text, exit_code, ""]

    def compare(self, name):
        found = "\n".join(self.lines)
        if os.environ.get("UPDATE_GOLDEN"):
            (GOLDEN / name).write_text(found)
        assert found == (GOLDEN / name).read_text()


@pytest.fixture
def session(monkeypatch, tmp_path):
    numbers = iter(range(100))
    monkeypatch.setattr(
        keys.secrets, "token_urlsafe", lambda _bytes: f"{next(numbers):043d}"
    )
    shutil.copytree(LISTS, tmp_path / "lists")
    monkeypatch.chdir(tmp_path / "lists")
    return Session(StoreState())


def test_an_ordinary_session(session):
    run = session.run
    for line in ("status", "diff accounts.ini plans.ini"):
        run(line)
    for line in ("apply accounts.ini plans.ini", "apply accounts.ini plans.ini"):
        run(line)
    run("key issue coop")
    run("key issue agent")
    run("key issue nobody")
    run("diff accounts-2.ini plans-2.ini")
    run("apply --expect=1 accounts-2.ini plans-2.ini")
    run("apply --expect=3 accounts-2.ini plans-2.ini")
    run("key list")
    run("key withdraw 30")
    hashes = [key[:12] for key in ctl.commands.in_force(session.store).unwrap().keys]
    run(f"key withdraw {hashes[0]}")
    run(f"key withdraw {hashes[0]}")
    run("get")
    run("apply accounts.ini plans-bad.ini")
    run("apply accounts.ini missing.ini")
    spec = {"zone": "a", "kind": "engine", "models": ["desk-1"], "draining": False}
    session.store.create(Kind.SIDECAR, "engine-1", spec)
    parts = {"entry-1": 600000, "entry-2": 400000}
    session.store.create(Kind.SHARE, "coop", {"generation": 3, "parts": parts})
    run("drain engine-1")
    run("drain engine-1")
    run("drain engine-9")
    run("status")
    run("drain --undo engine-1")
    session.compare("ctl_session.txt")


def test_a_session_with_failures(session):
    """Two operators race, an answer is lost, and the store goes down.

    An operator who is told the wrong thing leaves with a configuration in mind
    that is not in force, and finds it out from a customer.
    """
    run = session.run
    run("apply accounts.ini plans.ini")
    session.note("bo's change of the same plan arrives while ana's is on its way")
    create = session.store.create

    def overtaken(*args):
        session.store.create = create
        run("apply accounts-2.ini plans-2.ini", "bo")
        return create(*args)

    session.store.create = overtaken
    path = Path("plans-3.ini")
    session.note("ana's list says 3000 tokens a second")
    path.write_text(Path("plans.ini").read_text().replace("rate = 1000", "rate = 3000"))
    run("apply accounts.ini plans-3.ini")
    session.note("the answer to the next write is lost")
    session.store.faults.lost_answers = 1
    run("key issue coop")
    session.note("the store goes down before the write")
    session.store.faults.down = True
    for line in ("key issue coop", "apply accounts.ini plans.ini", "get", "status"):
        run(line)
    session.store.faults.down = False
    session.note("the store goes down at the write")

    def go_down(*args):
        session.store.faults.down = True
        return create(*args)

    session.store.create = go_down
    run("key issue coop")
    session.store.faults.down = False
    session.store.create = create
    run("key list")
    session.compare("ctl_failures.txt")
