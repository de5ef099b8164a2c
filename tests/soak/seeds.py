"""Seeds that failed once, in two halves that test files play side by side."""

import tomllib
from pathlib import Path

_SEEDS = tomllib.loads(
    (Path(__file__).parent / "seeds.toml").read_text(encoding="utf-8")
)["seed"]
EVEN_SEEDS = [item["number"] for item in _SEEDS[::2]]
ODD_SEEDS = [item["number"] for item in _SEEDS[1::2]]
