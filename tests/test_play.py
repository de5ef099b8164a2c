"""What callers get under each load pattern, in short plays with fixed seeds."""

from functools import cache

import pytest

from persimmonhitch.play.baselines import BASELINE, OURS
from persimmonhitch.play.calls import Pattern, draw_scene
from persimmonhitch.play.main import main
from persimmonhitch.play.player import play
from persimmonhitch.play.policy import StaticPlacer
from persimmonhitch.play.sizes import CAVALCANTE, KRINGNIEUWS

POLICIES = {"ours": OURS, "baseline": BASELINE}


# A burst takes a tenth of the play; 6 s of it outlast what engines take at once.
SECONDS = {Pattern.BURST: 60.0}


@cache
def figures(size, pattern, policy):
    scene = draw_scene(size, pattern, 5, SECONDS.get(pattern, 24.0))
    return play(scene, POLICIES[policy], 5)


@pytest.mark.parametrize(
    ("size", "pattern", "attainment", "worst", "times_baseline"),
    [
        (CAVALCANTE, Pattern.BURST, 0.9, 0.85, 1.0),
        (KRINGNIEUWS, Pattern.FLOOD, 0.9, 0.85, 1.15),
        (CAVALCANTE, Pattern.SLOW, 0.9, 0.85, 1.0),
        (KRINGNIEUWS, Pattern.LONG, 0.95, 0.85, 1.0),
        (CAVALCANTE, Pattern.SATURATION, 0.4, 0.25, 1.6),
        (KRINGNIEUWS, Pattern.TENFOLD, 0.9, 0.85, 1.0),
    ],
)
def test_what_callers_get(size, pattern, attainment, worst, times_baseline):
    """A burst, a flood, a slow engine, giant prompts, three times the load, a shift.

    Callers would see late first tokens, slow streams or refusals, and those of one
    account more than others.
    """
    ours = figures(size, pattern, "ours")
    other = figures(size, pattern, "baseline")
    assert ours.attainment >= attainment
    assert ours.worst_account >= worst
    assert ours.attained_per_accelerator >= (
        times_baseline * other.attained_per_accelerator
    )
    if pattern is not Pattern.SATURATION:
        assert ours.wrongful <= 0.005 * ours.within


def test_same_seed_same_figures(monkeypatch):
    """The order of a set of names differs from one process to the next.

    Where a play followed it, the figures in the docs could not be repeated.
    """
    scene = draw_scene(KRINGNIEUWS, Pattern.FLOOD, 1, 30.0)
    expected = play(scene, OURS, 1)
    place = StaticPlacer.place

    class Reversed(frozenset):
        def __iter__(self):
            return reversed(sorted(super().__iter__()))

    def reordered(self, now, demand):
        placed = place(self, now, demand)
        return {name: Reversed(models) for name, models in placed.items()}

    monkeypatch.setattr(StaticPlacer, "place", reordered)
    assert play(scene, OURS, 1) == expected


def test_table_of_the_load_play(capsys):
    argv = ["load", "--seeds=1", "--seconds=2", "--patterns=burst", "--each"]
    assert main(argv) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 2 + 2 * 9
    assert lines[2].startswith("| cavalcante | burst | baseline |")
    assert lines[-1].startswith("| kringnieuws | burst | placement: static |")


@pytest.mark.parametrize(("argv", "code"), [(["--list"], 0), (["nothing"], 2)])
def test_choice_of_play(capsys, argv, code):
    assert main(argv) == code
    assert "load" in "".join(capsys.readouterr())
