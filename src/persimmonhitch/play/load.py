"""Play load patterns for both deployments and print one table.

Usage:
  load [--seeds=LIST] [--seconds=S] [--patterns=LIST] [--each]

Options:
  --seeds=LIST     Seeds, separated by commas [default: 1,2,3].
  --seconds=S      Seconds of calls in a run [default: 60].
  --patterns=LIST  Patterns, separated by commas [default: all].
  --each           Also play ours with one decision replaced by its baseline.
  -h --help        Print this.

Figures count calls within their account's rate. "attained/acc" is calls a second and
accelerator that met the aims (first token in 0.75 s, 54 ms between tokens for 95 in
100 of a stream's tokens; batch work by its deadline), "worst" the attainment of the
worst-served account, "worst/mean" the same over the mean of all accounts, "refused"
calls within rate that were refused or given up, "first p95" and "gap p95" over all
streams, in seconds and milliseconds.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean
from typing import Final

from docopt import docopt

from .baselines import BASELINE, OURS, SINGLE
from .calls import Pattern, draw_scene
from .player import play
from .policy import Policy
from .registry import PLAYS
from .score import Figures
from .sizes import DEPLOYMENTS, Deployment

HEADINGS: Final = (
    "deployment",
    "pattern",
    "decisions",
    "attained/acc",
    "attainment",
    "worst",
    "worst/mean",
    "refused",
    "within",
    "first p95",
    "gap p95",
    "moves",
)


@dataclass(frozen=True)
class Row:
    """Figures of one policy under one pattern, over all seeds."""

    deployment: Deployment
    pattern: Pattern
    policy: Policy
    runs: tuple[Figures, ...]

    def cells(self) -> tuple[str, ...]:
        """Return the row's cells."""
        runs = self.runs
        return (
            self.deployment.name,
            self.pattern.value,
            self.policy.name,
            f"{self.attained_per_accelerator:.2f}",
            f"{fmean(run.attainment for run in runs):.3f}",
            f"{min(run.worst_account for run in runs):.3f}",
            f"{fmean(run.worst_account / run.mean_account for run in runs):.3f}",
            str(sum(run.wrongful for run in runs)),
            str(sum(run.within for run in runs)),
            f"{fmean(run.first_token_p95 for run in runs):.2f}",
            f"{1000 * fmean(run.gap_p95 for run in runs):.0f}",
            str(sum(run.moves for run in runs)),
        )

    @property
    def attained_per_accelerator(self) -> float:
        """Return the mean over seeds."""
        return fmean(run.attained_per_accelerator for run in self.runs)


def play_rows(
    patterns: Iterable[Pattern],
    policies: Sequence[Policy],
    seeds: Sequence[int],
    seconds: float,
) -> Iterable[Row]:
    """Play each policy under each pattern with the same seeds."""
    for size in DEPLOYMENTS:
        for pattern in patterns:
            scenes = [
                (draw_scene(size, pattern, seed, seconds), seed) for seed in seeds
            ]
            for policy in policies:
                runs = tuple(play(scene, policy, seed) for scene, seed in scenes)
                yield Row(size, pattern, policy, runs)


def line(cells: Iterable[str]) -> str:
    """Return one line of a Markdown table."""
    return f"| {' | '.join(cells)} |"


@PLAYS.register("load")
def main(argv: list[str]) -> int:
    """Print the table."""
    args = docopt(__doc__, argv)
    names = args["--patterns"]
    patterns = [
        pattern
        for pattern in Pattern
        if names == "all" or pattern.value in names.split(",")
    ]
    policies = (BASELINE, OURS, *(SINGLE if args["--each"] else ()))
    seeds = [int(seed) for seed in args["--seeds"].split(",")]
    print(line(HEADINGS))
    print(line("---" for _ in HEADINGS))
    for row in play_rows(patterns, policies, seeds, float(args["--seconds"])):
        print(line(row.cells()), flush=True)
    return 0
