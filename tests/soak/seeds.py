"""Seeds of past failures, split into two halves for test files that run in parallel."""

import tomllib
from pathlib import Path

_SEEDS = tomllib.loads(
    (Path(__file__).parent / "seeds.toml").read_text(encoding="utf-8")
)["seed"]
EVEN_SEEDS = [item["number"] for item in _SEEDS[::2]]
ODD_SEEDS = [item["number"] for item in _SEEDS[1::2]]
