"""The documentation matches the code: commands run, tables and names agree."""

import re
import shlex
import tomllib
from importlib import import_module
from pathlib import Path

import pytest
import settings_tables

from persimmonhitch.observe.logs import log
from persimmonhitch.slopes import __main__ as slopes
from persimmonhitch.slopes.base import SLOPES
from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.verdict import ErrorCode
from persimmonhitch.web import WebServer

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
PAGES = sorted(DOCS.rglob("*.md"))
COMMAND_BLOCK = re.compile(r"<!-- run -->\n```sh\n(.*?)```", re.S)
PAGES_WITH_COMMANDS = [page for page in PAGES if COMMAND_BLOCK.search(page.read_text())]
EXIT_CODE = re.compile(r"#\s*exit (\d+)\s*$")
STORE_URL = "http://10.0.0.5:7000"
SCRIPTS = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]


@pytest.fixture
def operator_dir(tmp_path, monkeypatch):
    """Directory with the example files, pointed at a running object store."""
    server = WebServer(StoreApp(StoreState()), "127.0.0.1", 0, 8)
    server.start()
    for path in (DOCS / "examples").iterdir():
        text = path.read_text()
        local = text.replace(STORE_URL, f"http://127.0.0.1:{server.port}")
        (tmp_path / path.name).write_text(local)
    monkeypatch.chdir(tmp_path)
    yield tmp_path
    server.close()


def run_command(line):
    """Run one command of a page in this process; return its exit code."""
    program, *args = shlex.split(line, comments=True)
    module, function = SCRIPTS[program].split(":")
    try:
        return int(getattr(import_module(module), function)(args) or 0)
    except SystemExit as exc:
        return exc.code or 0


@pytest.mark.parametrize("page", PAGES_WITH_COMMANDS, ids=lambda page: page.name)
def test_commands_of_pages_exit_as_documented(page, operator_dir, capsys):
    for block in COMMAND_BLOCK.findall(page.read_text()):
        for line in block.splitlines():
            expected = EXIT_CODE.search(line)
            code = run_command(line)
            printed = capsys.readouterr()
            assert code == int(expected[1] if expected else 0), (line, printed.err)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_between_pages_resolve(page):
    for target in re.findall(r"\]\(([^)#:]+?)(?:#\S*)?\)", page.read_text()):
        assert (page.parent / target).exists(), target


def test_tables_of_settings_and_metrics_are_current():
    page = settings_tables.PAGE.read_text()
    current = settings_tables.regenerate(page) == page
    assert current, "run scripts/settings_tables and commit the page"


def test_every_program_with_settings_has_its_table_and_example():
    page = settings_tables.PAGE.read_text()
    for program in settings_tables.programs():
        assert f"<!-- table {program} -->" in page
        assert (DOCS / "examples" / f"{program}.ini").exists()


def test_unknown_key_in_an_example_is_rejected(operator_dir):
    text = (operator_dir / "entry.ini").read_text()
    (operator_dir / "bad.ini").write_text(text.replace("port = 8080", "prot = 8080"))
    assert run_command("persimmonhitch-entry --settings=bad.ini --check") == 2


def test_the_page_names_every_exit_code_of_the_command_line():
    from persimmonhitch.ctl.outcome import ExitCode

    page = (DOCS / "OPERATIONS.md").read_text().replace("\n", " ")
    listed = re.search(r"Those of `persimmonhitch-ctl`: (.*?)\.  ", page)[1]
    assert re.findall(r"(?:^|; )(\d) ", listed) == [str(int(code)) for code in ExitCode]


def test_alerts_name_known_codes_events_and_metrics():
    page = (DOCS / "OPERATIONS.md").read_text()
    alerts = page.split("## Alerts")[1]
    source = "".join(p.read_text() for p in (ROOT / "src").rglob("*.py"))
    codes = {code.value for code in ErrorCode}
    assert set(re.findall(r'code="(\w+)"', alerts)) <= codes
    for event in re.findall(r"`event=(\w+)`", alerts) + ["store_away", "link_lost"]:
        assert re.search(rf'{log.__name__}\(\s*"{event}"', source), event
    shown = settings_tables.metrics_table() + "process_resident_memory_bytes"
    for name in re.findall(r"`((?:persimmonhitch|gen_ai|process)_\w+)`", alerts):
        assert name.removesuffix("_total") in shown, name


def test_capacity_page_lists_all_slopes():
    for plugin in slopes.PLUGINS:
        import_module(f"persimmonhitch.slopes.{plugin}")
    page = (DOCS / "CAPACITY.md").read_text()
    table = page.split("## Slopes")[1].split("A pair is both ends")[0]
    named = re.findall(r"^\| `([\w-]+)`", table, re.M)
    assert sorted(named) == sorted(SLOPES.names())
