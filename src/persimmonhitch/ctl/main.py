"""Inspect and change the configuration and the fleet.

Usage:
  persimmonhitch-ctl [--settings=FILE] apply [--expect=VERSION] ACCOUNTS PLANS
  persimmonhitch-ctl [--settings=FILE] diff ACCOUNTS PLANS
  persimmonhitch-ctl [--settings=FILE] get [DIRECTORY]
  persimmonhitch-ctl [--settings=FILE] status
  persimmonhitch-ctl [--settings=FILE] key issue ACCOUNT
  persimmonhitch-ctl [--settings=FILE] key withdraw HASH
  persimmonhitch-ctl [--settings=FILE] key list
  persimmonhitch-ctl [--settings=FILE] drain [--undo] UPSTREAM
  persimmonhitch-ctl [--settings=FILE] --check
  persimmonhitch-ctl --help

Options:
  --settings=FILE   Settings in INI [default: ctl.ini].
  --expect=VERSION  Apply only if this version is in force.
  --undo            Let the upstream take work again.
  --check           Check the settings and exit: 0 if good, 2 if not.

HASH is the start of a key's hash, at least 8 characters; never the key itself.

Exit codes: 0 done or already so; 1 diff found differences; 2 wrong usage,
settings or lists; 3 conflict with another operator; 4 the store is unavailable,
nothing was written; 5 the store did not answer the write, run it again; 6 what
was named does not exist.
"""

import sys
from pathlib import Path
from typing import Any

from docopt import DocoptExit, docopt

from ..catalog.log import ChangeWriter
from ..ids import Account, ConfigVersion, Upstream
from ..platform.store_client import StoreClient
from ..settings import load_or_exit
from ..store.objects import ObjectStore
from . import commands
from .outcome import ExitCode, Outcome
from .settings import CtlSettings

QUIET = (ExitCode.OK, ExitCode.DIFFERENT)


def _lists(args: dict[str, Any]) -> commands.Lists:
    return commands.Lists(Path(args["ACCOUNTS"]), Path(args["PLANS"]))


def _apply(args: dict[str, Any], store: ObjectStore, writer: ChangeWriter) -> Outcome:
    text = args["--expect"]
    if text is not None and not text.isdigit():
        return Outcome(ExitCode.MISTAKE, f"--expect: no version number: {text!r}")
    expected = None if text is None else ConfigVersion(int(text))
    return commands.apply(store, writer, _lists(args), expected)


def run(args: dict[str, Any], store: ObjectStore, writer: ChangeWriter) -> Outcome:
    """Run the command that the arguments name."""
    if args["apply"]:
        return _apply(args, store, writer)
    if args["diff"]:
        return commands.diff(store, _lists(args))
    if args["get"]:
        directory = args["DIRECTORY"]
        return commands.get(store, None if directory is None else Path(directory))
    if args["status"]:
        return commands.status(store)
    if args["issue"]:
        return commands.issue_key(store, writer, Account(args["ACCOUNT"]))
    if args["withdraw"]:
        return commands.withdraw_key(store, writer, args["HASH"])
    if args["list"]:
        return commands.list_keys(store)
    return commands.drain(store, Upstream(args["UPSTREAM"]), not args["--undo"])


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    try:
        args = docopt(__doc__, argv)
    except DocoptExit as exc:
        print(exc, file=sys.stderr)
        return ExitCode.MISTAKE
    cfg = load_or_exit(CtlSettings, Path(args["--settings"]))
    if args["--check"]:
        return ExitCode.OK
    store = StoreClient(cfg.store, cfg.store_timeout)
    outcome = run(args, store, ChangeWriter(store, cfg.operator))
    stream = sys.stdout if outcome.code in QUIET else sys.stderr
    print(outcome.text, file=stream)
    return outcome.code
