"""Settings files are validated completely: all mistakes are reported at once."""

from dataclasses import dataclass

import pytest
from returns.result import Failure as Err
from returns.result import Success

from persimmonhitch.settings import load, setting, table


@dataclass(frozen=True)
class Sample:
    port: int = setting("listen", "port", "TCP port", low=1, high=65535)
    peers: tuple[str, ...] = setting("mesh", "peers", "peers", default=())
    loud: bool = setting("log", "loud", "log all", default=False)
    seeds: tuple[tuple[str, int], ...] = setting("mesh", "seeds", "seeds", ())


MESH = "[mesh]\npeers=a:1, b:2\nseeds=10.0.0.5:70, h:7\n"
GOOD = f"[listen]\nport=80\n{MESH}[log]\nloud=yes\n"


def read(tmp_path, text):
    path = tmp_path / "sample.ini"
    path.write_text(text)
    return load(Sample, path)


def test_good_file(tmp_path):
    assert read(tmp_path, GOOD) == Success(
        Sample(80, ("a:1", "b:2"), True, (("10.0.0.5", 70), ("h", 7)))
    )


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", ["[listen] port: missing"]),
        ("[listen]\nport=x\n", ["port: expected a whole number from 1 to 65535"]),
        ("[listen]\nport=0\n", ["found '0'"]),
        ("[listen]\nport=1\nprot=2\n", ["prot: unknown key"]),
        ("[listn]\nport=1\n", ["[listn] -: unknown section", "missing"]),
        ("[listen]\nport=x\n[log]\nloud=perhaps\n", ["port:", "yes or no"]),
        ("[listen]\nport=1\n[mesh]\nseeds=a\n", ["seeds: expected a list of host"]),
        ("[listen]\nport=1\n[mesh]\nseeds=a:0\n", ["found 'a:0'"]),
        ("no section", ["no section headers"]),
    ],
)
def test_every_mistake_is_named(tmp_path, text, expected):
    result = read(tmp_path, text)
    assert isinstance(result, Err)
    lines = "\n".join(str(mistake) for mistake in result.failure())
    for message in expected:
        assert message in lines


def test_table_names_each_setting():
    assert "| listen | port | must be given | TCP port from 1 to 65535 |" in table(
        Sample
    )
