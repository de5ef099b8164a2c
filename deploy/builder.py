"""Builds the folder from which the programs are imported.

``target/deps`` is a link to one of the folders in ``target/builds``. Each of them holds
the pinned libraries and the package, is checked by starting the programs from it, and
does not change once its manifest is written. Replacing the link switches to a new build
in one step; processes that have started keep the build that they started from.
"""

import base64
import compileall
import contextlib
import ctypes
import errno
import fcntl
import hashlib
import json
import os
import platform
import py_compile
import re
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from importlib.metadata import Distribution, distributions
from pathlib import Path
from typing import Final

PACKAGE: Final = "persimmonhitch"
MANIFEST: Final = "build.json"
CACHE: Final = "__pycache__"
KEPT_BUILDS: Final = 4
"""Complete builds that are kept; processes may still import from the former ones."""
CHECK_TIMEOUT_S: Final = 120.0
KEY_LENGTH: Final = 16
INTERPRETER: Final = f"cp{sys.version_info.major}{sys.version_info.minor}"
"""Tag of libraries that are made for this interpreter."""
AT_FDCWD: Final = -100
RENAME_EXCHANGE: Final = 2
"""Flag of ``renameat2`` that swaps two paths."""


class BuildError(Exception):
    """A build that can't be made."""


class InstallError(BuildError):
    """Libraries that can't be installed."""


class StartError(BuildError):
    """A build from which a program doesn't start."""


@dataclass(frozen=True)
class Repository:
    """Paths of a checkout."""

    root: Path

    @property
    def pins(self) -> Path:
        """Return the pinned list of libraries."""
        return self.root / "deploy/requirements.txt"

    @property
    def package(self) -> Path:
        """Return the source of the package."""
        return self.root / "src" / PACKAGE

    @property
    def target(self) -> Path:
        """Return the folder of all that is built."""
        return Path(os.path.realpath(self.root / "target"))

    @property
    def link(self) -> Path:
        """Return the link to the current build."""
        return self.target / "deps"

    @property
    def builds(self) -> Path:
        """Return the folder of the builds."""
        return self.target / "builds"

    def programs(self) -> list[str]:
        """Return the modules that the deploy file runs."""
        deploy = tomllib.loads((self.root / "deploy/system.toml").read_text())
        commands = [role["run"].split() for role in deploy["roles"].values()]
        return [words[words.index("-m") + 1] for words in commands]


def hash_file(path: Path) -> str | None:
    """Return the hash of a file, None if it can't be read."""
    try:
        return hashlib.sha256(path.read_bytes()).hexdigest()
    except OSError:
        return None


def normalize(name: str) -> str:
    """Return the name of a library in the form that is compared."""
    return re.sub(r"[-_.]+", "-", name).lower()


def hash_files(paths: Iterable[Path], folder: Path) -> dict[str, str]:
    """Return the hashes of files by their paths in a folder."""
    return {
        str(path.relative_to(folder)): hashlib.sha256(path.read_bytes()).hexdigest()
        for path in paths
        if path.is_file()
    }


def make_key(*parts: object) -> str:
    """Return a short hash of some values."""
    text = json.dumps(parts, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:KEY_LENGTH]


def libraries_key(repo: Repository) -> str:
    """Return a key of the libraries: the pins, and the platform that they run on."""
    abi = sysconfig.get_config_var("SOABI")
    tag = sys.implementation.cache_tag
    return make_key(platform.machine(), tag, abi, repo.pins.read_text())


def source_key(package: Path) -> str:
    """Return a key of the package's source."""
    paths = (path for path in package.rglob("*") if CACHE not in path.parts)
    return make_key(hash_files(paths, package))


def read_manifest(build: Path) -> dict[str, object]:
    """Return the manifest of a build; empty if it is incomplete."""
    try:
        manifest = json.loads((build / MANIFEST).read_text())
    except (OSError, ValueError):
        return {}
    return manifest if isinstance(manifest, dict) else {}


def changed_files(build: Path) -> set[str]:
    """Return the files of a build that are not as they were checked."""
    files = read_manifest(build).get("files")
    if not isinstance(files, dict):
        return {MANIFEST}
    # Interpreters of other versions may have added their own bytecode.
    return {name for name in files if hash_file(build / name) != files[name]}


def is_of_package(name: str) -> bool:
    """Return whether a file of a build belongs to the package, not to a library."""
    return Path(name).parts[0] == PACKAGE


def fits(distribution: Distribution) -> bool:
    """Return whether a library is whole and runs on this interpreter and machine."""
    for tag in re.findall(r"^Tag: (.+)$", distribution.read_text("WHEEL") or "", re.M):
        interpreter, abi, machine = tag.split("-")
        if (abi in ("none", "abi3") or interpreter == INTERPRETER) and (
            machine == "any" or machine.endswith(f"_{platform.machine()}")
        ):
            break
    else:
        return False
    for file in distribution.files or ():
        # Commands are installed outside of the folder that pip records.
        if file.hash is not None and file.parts[0] != "..":
            digest = hashlib.new(file.hash.mode, file.read_binary()).digest()
            if base64.urlsafe_b64encode(digest).decode().rstrip("=") != file.hash.value:
                return False
    return True


def has_pinned_libraries(repo: Repository, folder: Path) -> bool:
    """Return whether a folder without a manifest holds the pinned libraries."""
    pins = re.findall(r"^([\w.-]+)==(\S+)", repo.pins.read_text(), re.M)
    installed = {
        normalize(distribution.metadata["Name"]): distribution
        for distribution in distributions(path=[str(folder)])
    }
    try:
        return len(pins) > 0 and all(
            normalize(name) in installed
            and installed[normalize(name)].version == version
            and fits(installed[normalize(name)])
            for name, version in pins
        )
    except (OSError, ValueError):
        return False


def check_starts(repo: Repository, build: Path) -> None:
    """Start each program from a build; raise an error if one does not."""
    # Without ``site``, libraries of the interpreter can't stand in for missing ones.
    env = {"PYTHONPATH": str(build), "PYTHONDONTWRITEBYTECODE": "1"}
    for program in repo.programs():
        try:
            result = subprocess.run(
                [sys.executable, "-S", "-m", program, "--help"],
                env={**os.environ, **env},
                cwd=build,
                capture_output=True,
                text=True,
                timeout=CHECK_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired as exc:
            raise StartError(f"{program} does not start: {exc}") from exc
        if result.returncode != 0:
            raise StartError(f"{program} does not start:\n{result.stderr.strip()}")


def starts(repo: Repository, build: Path) -> bool:
    """Return whether all programs start from a build."""
    try:
        check_starts(repo, build)
    except StartError as exc:
        print(exc, file=sys.stderr)
        return False
    return True


def install_libraries(repo: Repository, build: Path) -> None:
    """Install the pinned libraries into a folder."""
    options = ["--quiet", "--no-compile", "--disable-pip-version-check"]
    command = [sys.executable, "-m", "pip", "install", *options]
    env = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    result = subprocess.run(
        [*command, "--target", str(build), "-r", str(repo.pins)],
        env=env,
        stderr=subprocess.PIPE,
        text=True,
    )
    errors = result.stderr.strip()
    if result.returncode != 0:
        raise InstallError(f"pip exited with {result.returncode}:\n{errors}")
    if errors:
        print(errors, file=sys.stderr)


def make_build(repo: Repository, libraries: Path | None) -> Path:
    """Make a complete build and return its folder.

    Parameters
    ----------
    repo : Repository
        The checkout.
    libraries : Path or None
        Folder with the pinned libraries, which are copied; None to install them.
    """
    build = Path(tempfile.mkdtemp(prefix="build-", dir=repo.builds))
    try:
        fill(repo, build, libraries)
    except BaseException:
        remove(build)
        raise
    return build


def fill(repo: Repository, build: Path, libraries: Path | None) -> None:
    """Install or copy the libraries, copy the package, check, write the manifest."""
    package = build / PACKAGE
    uncompiled = build
    if libraries is None:
        install_libraries(repo, build)
    else:
        unwanted = [PACKAGE, MANIFEST]
        if read_manifest(libraries):
            uncompiled = package
        else:
            unwanted.append(CACHE)
        ignore = shutil.ignore_patterns(*unwanted)
        shutil.copytree(libraries, build, ignore=ignore, dirs_exist_ok=True)
    build.chmod(0o755)
    shutil.copytree(repo.package, package, ignore=shutil.ignore_patterns(CACHE))
    if source_key(package) != source_key(repo.package):
        raise BuildError("the source has changed while it was copied")
    # A build does not change, and a copy of it may have other file times.
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    compileall.compile_dir(uncompiled, quiet=2, invalidation_mode=mode)
    check_starts(repo, build)
    manifest = {
        "libraries": libraries_key(repo),
        "source": source_key(package),
        "files": hash_files(build.rglob("*"), build),
    }
    partial = build / f"{MANIFEST}.partial"
    partial.write_text(json.dumps(manifest))
    partial.rename(build / MANIFEST)


def complete_builds(repo: Repository) -> list[Path]:
    """Return all complete builds, the current one first, then the newest."""
    manifests = list(repo.builds.glob(f"*/{MANIFEST}"))
    manifests.sort(key=lambda path: path.stat().st_mtime_ns, reverse=True)
    builds = [path.parent for path in manifests]
    current = Path(os.path.realpath(repo.link))
    return sorted(builds, key=lambda build: build != current)


def get_build(repo: Repository) -> Path:
    """Return a build of the present source and pins; make one if there is none."""
    wanted = {"libraries": libraries_key(repo), "source": source_key(repo.package)}
    libraries = None
    for build in complete_builds(repo):
        manifest = read_manifest(build)
        if manifest.get("libraries") != wanted["libraries"]:
            continue
        changed = changed_files(build)
        if manifest.get("source") == wanted["source"] and not changed:
            if starts(repo, build):
                return build
        if all(map(is_of_package, changed)):
            libraries = libraries or build
    if libraries is not None:
        try:
            return make_build(repo, libraries)
        except StartError as exc:
            print(f"{exc}\ninstalling the libraries anew", file=sys.stderr)
    try:
        return make_build(repo, None)
    except InstallError as exc:
        folder = repo.link
        if read_manifest(folder) or not has_pinned_libraries(repo, folder):
            raise
        print(f"{exc}\ncopying the libraries of {folder}", file=sys.stderr)
        return make_build(repo, folder)


def replace_folder(repo: Repository, new_link: Path) -> None:
    """Put a link in the place of a folder, in one step if the file system can."""
    libc = ctypes.CDLL(None, use_errno=True)
    old, new = os.fsencode(repo.link), os.fsencode(new_link)
    renameat2 = getattr(libc, "renameat2", None)
    if renameat2 is not None:
        if renameat2(AT_FDCWD, old, AT_FDCWD, new, RENAME_EXCHANGE) == 0:
            remove(new_link)
            return
    # Among the builds, a folder without a manifest is removed.
    repo.link.rename(Path(tempfile.mkdtemp(dir=repo.builds)) / repo.link.name)
    new_link.rename(repo.link)


def remove(path: Path) -> None:
    """Remove a file, a link or a folder as far as permissions allow."""
    if path.is_dir() and not path.is_symlink():
        for folder, _, _ in os.walk(path):
            # Files of a folder that is not writable can't be removed.
            with contextlib.suppress(OSError):
                os.chmod(folder, 0o755)
        shutil.rmtree(path, ignore_errors=True)
    else:
        with contextlib.suppress(OSError):
            path.unlink()


def switch_to(repo: Repository, build: Path) -> None:
    """Make a build the current one."""
    if repo.link.is_symlink() and os.path.realpath(repo.link) == str(build):
        return
    # Former builds are removed in the order in which they were last in use.
    os.utime(build / MANIFEST)
    new_link = repo.target / ".deps-new"
    remove(new_link)
    new_link.symlink_to(build.relative_to(repo.target))
    if repo.link.is_symlink() or not repo.link.exists():
        new_link.replace(repo.link)
    else:
        replace_folder(repo, new_link)


def keep_builds(repo: Repository, complete: int) -> None:
    """Remove incomplete builds and all but the newest complete ones.

    The current build stays also if it is incomplete: processes may start from it.
    """
    kept = {Path(os.path.realpath(repo.link)), *complete_builds(repo)[:complete]}
    for path in repo.builds.iterdir():
        if path not in kept:
            remove(path)


def get_build_in_space(repo: Repository) -> Path:
    """Return a build as `get_build` does; on a full disk, former ones make room."""
    try:
        return get_build(repo)
    except (BuildError, OSError) as exc:
        # Errors of pip and of copied folders are known by their texts alone.
        if os.strerror(errno.ENOSPC) not in str(exc):
            raise
        print(f"{exc}\nremoving former builds", file=sys.stderr)
    keep_builds(repo, 1)
    return get_build(repo)


@contextlib.contextmanager
def locked(folder: Path) -> Iterator[None]:
    """Hold a lock on a folder; the system releases that of a killed process."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            print("waiting for another build of this checkout", file=sys.stderr)
            fcntl.flock(descriptor, fcntl.LOCK_EX)
        yield
    finally:
        os.close(descriptor)


def main() -> int:
    """Build the checkout that holds this file; return the exit code."""
    repo = Repository(Path(__file__).resolve().parent.parent)
    try:
        repo.target.mkdir(exist_ok=True)
        with locked(repo.target):
            repo.builds.mkdir(exist_ok=True)
            # Folders that killed builds have left may have filled the disk.
            keep_builds(repo, KEPT_BUILDS)
            build = get_build_in_space(repo)
            switch_to(repo, build)
            keep_builds(repo, KEPT_BUILDS)
    except (BuildError, OSError) as exc:
        print(f"build failed: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
