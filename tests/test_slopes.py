"""The slopes run and yield figures; what they measure stands in docs/CAPACITY.md."""

import re
from importlib import import_module
from pathlib import Path

import pytest

from persimmonhitch.slopes import __main__ as command
from persimmonhitch.slopes import base, links, placement, working_set
from persimmonhitch.slopes.base import SLOPES, Reading, Slope

CAPACITY = Path(__file__).parent.parent / "docs" / "CAPACITY.md"

for plugin in command.PLUGINS:
    import_module(f"persimmonhitch.slopes.{plugin}")


@pytest.fixture(autouse=True)
def short(monkeypatch):
    monkeypatch.setattr(links, "SETTLE", 0.0)
    monkeypatch.setattr(links, "WINDOW", 0.01)
    monkeypatch.setattr(working_set, "LENGTH", 30.0)
    monkeypatch.setattr(placement, "UPSTREAMS", 60)
    spent = base.seconds_each
    for plugin in command.PLUGINS:
        module = import_module(f"persimmonhitch.slopes.{plugin}")
        if hasattr(module, "seconds_each"):
            monkeypatch.setattr(module, "seconds_each", lambda work: spent(work, 1e-5))


@pytest.mark.parametrize("name", SLOPES.names())
def test_each_slope_runs(name, capsys):
    assert command.main([name, "--sizes=1,3"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith(f"{name}, 20")
    rows = [line for line in lines if re.match(r"\| (1|3|\*each\*) \|", line)]
    assert len(rows) == 3
    assert len({row.count("|") for row in rows}) == 1


def test_unknown_slope_is_named(capsys):
    assert command.main(["sideways"]) == command.EXIT_UNKNOWN
    assert "codec-chunk" in capsys.readouterr().err


def test_list(capsys):
    assert command.main(["list"]) == 0
    assert capsys.readouterr().out.split() == list(SLOPES.names())


def test_fit_finds_the_slope_and_ignores_the_offset():
    readings = [Reading(x, (("y", 3.0 * x + 7.0),)) for x in (1, 10, 50)]
    assert base.fit(readings, "y") == pytest.approx(3.0)
    text = base.render(Slope("x", (1,), lambda _: iter(())), readings)
    assert text.splitlines()[-1] == "| *each* | 3 |"


def test_traffic_counts_payload_and_headers():
    later, before = base.Traffic(150, 5), base.Traffic(50, 3)
    assert later.since(before).wire == 100 + 2 * base.HEADER_BYTES
