"""The build of the deploy file, in checkouts with a small package and one library."""

import base64
import contextlib
import errno
import fcntl
import hashlib
import importlib.util
import itertools
import json
import os
import shutil
import signal
import subprocess
import time
import tomllib
import zipfile
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BUILD_FILES = ("deploy/build", "deploy/builder.py", "deploy/system.toml")
PROGRAM = """
import sys
import pinned
from .. import first
from . import second
if "--help" in sys.argv:
    sys.exit()
print(pinned.VERSION, first.VERSION, second.VERSION, flush=True)
if sys.stdin.readline():
    from .. import late
    print(late.VERSION, flush=True)
"""
KILLS = 8
STARTS = 12


def record_hash(text):
    """Return the hash of a file in the record of a wheel."""
    digest = hashlib.sha256(text.encode()).digest()
    return "sha256=" + base64.urlsafe_b64encode(digest).decode().rstrip("=")


class Checkout:
    """A repository with the build of this one."""

    def __init__(self, root):
        self.root = root
        self.target = root / "target"
        self.deps = root / "target/deps"

    @classmethod
    def create(cls, root):
        """Write the files of a repository that has not been built."""
        checkout = cls(root)
        for name in filter(lambda name: (ROOT / name).exists(), BUILD_FILES):
            path = root / name
            path.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(ROOT / name, path)
        package = root / "src/persimmonhitch"
        (package / "direct").mkdir(parents=True)
        shutil.copy(ROOT / "src/persimmonhitch/__init__.py", package)
        (package / "direct/__init__.py").touch()
        (package / "direct/__main__.py").write_text(PROGRAM)
        checkout.set_source(1)
        checkout.pin(1)
        return checkout

    def copy(self, root):
        """Return a copy of this repository with all that it has built."""
        shutil.copytree(self.root, root, symlinks=True)
        return Checkout(root)

    def set_source(self, version):
        """Write the modules of a version."""
        for name in ("first", "direct/second", "late"):
            path = self.root / f"src/persimmonhitch/{name}.py"
            path.write_text(f"VERSION = {version}\n")

    def pin(self, version):
        """Require a version of the library, which is a wheel in the repository."""
        wheel = self.root / f"pinned-{version}-py3-none-any.whl"
        info = f"pinned-{version}.dist-info"
        files = {
            "pinned.py": f"VERSION = {version}\n",
            f"{info}/METADATA": "Metadata-Version: 2.1\nName: pinned\n"
            f"Version: {version}\n",
            f"{info}/WHEEL": "Wheel-Version: 1.0\nRoot-Is-Purelib: true\n"
            "Tag: py3-none-any\n",
        }
        record = "".join(f"{name},{record_hash(files[name])},\n" for name in files)
        record += f"{info}/RECORD,,\n"
        with zipfile.ZipFile(wheel, "w") as archive:
            for name, text in {**files, f"{info}/RECORD": record}.items():
                archive.writestr(name, text)
        (self.root / "deploy/requirements.txt").write_text(
            f"--no-index\n--find-links ..\npinned=={version}\n"
        )

    def remove_wheels(self):
        """Make the library unavailable, as without a network."""
        for wheel in self.root.glob("*.whl"):
            wheel.unlink()

    def build(self):
        """Begin a build."""
        return subprocess.Popen(
            [self.root / "deploy/build"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )

    def finish_build(self):
        """Build to the end; return the exit code."""
        process = self.build()
        process.communicate(timeout=60)
        return process.returncode

    @contextlib.contextmanager
    def locked(self):
        """Hold back all builds, as a build that runs does."""
        descriptor = os.open(self.target, os.O_RDONLY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield
        finally:
            os.close(descriptor)

    def start(self):
        """Start the program as the platform does."""
        deploy = tomllib.loads((self.root / "deploy/system.toml").read_text())
        return subprocess.Popen(
            deploy["roles"]["entry"]["run"].split(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            cwd=self.root,
            env={"PATH": os.environ["PATH"], "PYTHONPATH": str(self.deps)},
        )

    def versions(self):
        """Return the versions of library and modules that a start prints."""
        process = self.start()
        output, errors = process.communicate("", timeout=30)
        assert process.returncode == 0, errors
        return output.split()

    def snapshot(self):
        """Return all files with what a change of them would change."""
        paths = [self.target, *self.target.rglob("*")]
        stats = {str(path): path.lstat() for path in paths}
        return {name: (s.st_ino, s.st_mtime_ns, s.st_size) for name, s in stats.items()}


@pytest.fixture(scope="module")
def built(tmp_path_factory):
    """Return a repository that has been built."""
    checkout = Checkout.create(tmp_path_factory.mktemp("checkouts") / "built")
    assert checkout.finish_build() == 0
    return checkout


@pytest.fixture
def checkout(built, tmp_path):
    """Return a copy of a repository that has been built."""
    return built.copy(tmp_path / "checkout")


def change_manifest(checkout, **values):
    path = checkout.deps / "build.json"
    path.write_text(json.dumps({**json.loads(path.read_text()), **values}))


def empty_target(checkout):
    shutil.rmtree(checkout.target)
    checkout.target.mkdir()


def built_in_place(checkout):
    shutil.rmtree(checkout.target)
    shutil.copytree(checkout.root / "src/persimmonhitch", checkout.deps / "old")
    (checkout.target / ".ready").touch()


def of_former_layout(checkout):
    build = checkout.deps.resolve()
    (build / "build.json").unlink()
    checkout.deps.unlink()
    build.rename(checkout.deps)
    (checkout.target / ".ready").touch()


def former_layout_damaged(checkout):
    of_former_layout(checkout)
    (checkout.deps / "pinned.py").write_text("VERSION = 0\n")


def former_layout_of_another_machine(checkout):
    of_former_layout(checkout)
    (wheel,) = checkout.deps.glob("*.dist-info/WHEEL")
    wheel.write_text(wheel.read_text().replace("py3-none-any", "py3-none-linux_none"))


def former_layout_with_other_pins(checkout):
    of_former_layout(checkout)
    checkout.pin(1.5)


def linked_to_nothing(checkout):
    shutil.rmtree(checkout.target / "builds")


def linked_to_itself(checkout):
    checkout.deps.unlink()
    checkout.deps.symlink_to("deps")


def of_another_machine(checkout):
    (checkout.deps / "pinned.py").write_text("raise ImportError\n")
    change_manifest(checkout, libraries="0")


def damaged_library(checkout):
    (checkout.deps / "pinned.py").write_text("")


def damaged_bytecode(checkout):
    for path in checkout.deps.rglob("first*.pyc"):
        path.write_bytes(path.read_bytes()[:20])


def missing_module(checkout):
    (checkout.deps / "persimmonhitch/first.py").unlink()


def cut_manifest(checkout):
    (checkout.deps / "build.json").write_text('{"libraries": ')


def missing_manifest(checkout):
    (checkout.deps / "build.json").unlink()


STATES = (
    empty_target,
    built_in_place,
    of_former_layout,
    linked_to_nothing,
    linked_to_itself,
    of_another_machine,
    damaged_library,
    damaged_bytecode,
    missing_module,
    cut_manifest,
    missing_manifest,
)


@pytest.mark.parametrize("spoil", STATES)
def test_programs_start_after_a_build_in_any_folder(checkout, spoil):
    """Guards against builds that trust what an earlier one has left."""
    spoil(checkout)
    assert checkout.finish_build() == 0
    assert checkout.versions() == ["1", "1", "1"]


def test_pins_with_an_older_file_time_are_installed(checkout):
    """Guards against pins that are compared by the times of files."""
    checkout.pin(2)
    os.utime(checkout.root / "deploy/requirements.txt", (0, 0))
    assert checkout.finish_build() == 0
    assert checkout.versions() == ["2", "1", "1"]


def test_programs_start_while_builds_replace_each_other(checkout):
    """Guards against starts from an incomplete build, or from parts of two builds."""
    seen = set()
    numbers = itertools.count(2)
    builds = []
    for _ in range(STARTS):
        if sum(build.poll() is None for build in builds) < 2:
            with checkout.locked():
                checkout.set_source(next(numbers))
            builds.append(checkout.build())
        _, first, second = checkout.versions()
        seen.add((first, second))
    codes = [build.wait(60) or build.stderr.close() for build in builds]
    assert all(first == second for first, second in seen)
    assert codes == [None] * len(builds)


def test_process_keeps_the_build_that_it_started_from(checkout):
    """Guards against late imports from a newer build."""
    with checkout.start() as process:
        assert process.stdout.readline().split() == ["1", "1", "1"]
        checkout.set_source(2)
        assert checkout.finish_build() == 0
        output, _ = process.communicate("go\n", timeout=30)
    assert output.split() == ["1"]
    assert checkout.versions() == ["1", "2", "2"]


def test_programs_start_after_a_killed_build(checkout):
    """Guards against builds that leave a folder from which nothing starts."""
    began_at = time.monotonic()
    checkout.set_source(2)
    checkout.pin(2)
    assert checkout.finish_build() == 0
    duration_s = time.monotonic() - began_at
    for i in range(KILLS):
        checkout.set_source(3 + i)
        checkout.pin(3 + i)
        with checkout.build() as process:
            try:
                process.wait(duration_s * (i + 1) / (KILLS + 1))
            except subprocess.TimeoutExpired:
                os.killpg(process.pid, signal.SIGKILL)
        versions = checkout.versions()
        assert versions == [versions[0]] * 3
    assert checkout.finish_build() == 0
    assert checkout.versions() == [str(2 + KILLS)] * 3
    builds = checkout.target / "builds"
    assert all((path / "build.json").exists() for path in builds.iterdir())


def test_builds_of_one_checkout_wait_for_each_other(checkout):
    """Guards against builds that change one folder at the same time."""
    with checkout.locked():
        checkout.set_source(2)
        process = checkout.build()
        assert "waiting for another build" in process.stderr.readline()
        assert checkout.versions() == ["1", "1", "1"]
    process.communicate(timeout=60)
    assert process.returncode == 0
    assert checkout.versions() == ["1", "2", "2"]


def test_build_without_a_change_touches_nothing(checkout):
    """Guards against builds that disturb running processes without need."""
    assert checkout.finish_build() == 0
    before = checkout.snapshot()
    assert checkout.finish_build() == 0
    assert checkout.snapshot() == before


def test_unchanged_pins_need_no_network(checkout):
    """Guards against builds of new source that install the libraries anew."""
    checkout.remove_wheels()
    checkout.set_source(2)
    assert checkout.finish_build() == 0
    assert checkout.versions() == ["1", "2", "2"]


@pytest.mark.parametrize(
    "spoil", [missing_module, damaged_bytecode, of_former_layout, missing_manifest]
)
def test_libraries_that_are_left_need_no_network(checkout, spoil):
    """Guards against builds that fail offline although all libraries are there."""
    spoil(checkout)
    checkout.remove_wheels()
    assert checkout.finish_build() == 0
    assert checkout.versions() == ["1", "1", "1"]


@pytest.mark.parametrize(
    "spoil",
    [
        damaged_library,
        of_another_machine,
        former_layout_damaged,
        former_layout_of_another_machine,
        former_layout_with_other_pins,
    ],
)
def test_libraries_that_do_not_fit_are_not_copied(checkout, spoil):
    """Guards against offline builds from libraries that are damaged or others."""
    spoil(checkout)
    checkout.remove_wheels()
    assert checkout.finish_build() == 1


def test_source_that_does_not_start_fails_the_build(checkout):
    """Guards against builds that succeed although nothing starts from them."""
    (checkout.root / "src/persimmonhitch/first.py").write_text("raise ImportError\n")
    assert checkout.finish_build() == 1
    assert checkout.versions() == ["1", "1", "1"]


def test_former_builds_are_removed(checkout):
    """Guards against builds that fill the disk."""
    former = checkout.deps.resolve()
    for version in (2, 3):
        checkout.set_source(version)
        assert checkout.finish_build() == 0
        assert former.exists()
    for version in range(4, 8):
        checkout.set_source(version)
        assert checkout.finish_build() == 0
    assert not former.exists()


def test_incomplete_builds_are_removed_before_the_next(checkout):
    """Guards against builds that fail for good since killed ones fill the disk."""
    killed = checkout.target / "builds/killed"
    killed.mkdir()
    (checkout.root / "src/persimmonhitch/first.py").write_text("raise ImportError\n")
    assert checkout.finish_build() == 1
    assert not killed.exists()


def test_current_build_stays_without_its_manifest(checkout):
    """Guards against a failed build after which nothing starts any more."""
    missing_manifest(checkout)
    (checkout.root / "src/persimmonhitch/first.py").write_text("raise ImportError\n")
    assert checkout.finish_build() == 1
    assert checkout.versions() == ["1", "1", "1"]


def load_builder(checkout):
    path = checkout.root / "deploy/builder.py"
    spec = importlib.util.spec_from_file_location("builder", path)
    builder = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(builder)
    return builder


@pytest.mark.parametrize("kind", ["OSError", "shutil.Error", "pip"])
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_former_builds_make_room_on_a_full_disk(checkout, monkeypatch, kind, code):
    """Guards against builds that fail for good beside former ones on a full disk."""
    former = checkout.deps.resolve()
    checkout.set_source(2)
    assert checkout.finish_build() == 0
    checkout.set_source(3)
    builder = load_builder(checkout)
    cause = OSError(code, os.strerror(code))
    error = {
        "OSError": cause,
        "shutil.Error": shutil.Error([("a", "b", str(cause))]),
        "pip": builder.InstallError(f"pip exited with 1:\n{cause}"),
    }[kind]
    fill = builder.fill

    def fill_if_there_is_room(*args):
        if former.exists():
            raise error
        fill(*args)

    monkeypatch.setattr(builder, "fill", fill_if_there_is_room)
    is_full = code == errno.ENOSPC
    assert builder.main() == (0 if is_full else 1)
    assert former.exists() is not is_full
    assert checkout.versions() == ["1", *["3" if is_full else "2"] * 2]
