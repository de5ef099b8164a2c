"""Implementation of the commands."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..catalog import keys
from ..catalog.changes import Delta, diff_lists
from ..catalog.lists import parse_lists
from ..catalog.log import ChangeWriter, read_head
from ..catalog.model import Catalog
from ..catalog.render import render_accounts, render_plans
from ..ids import Account, ConfigVersion, Upstream
from ..store.objects import Kind, ObjectStore, StoredObject, StoreError
from .fleet_status import Ask, ask, with_answers
from .outcome import ExitCode, Outcome, commit_failed, unread
from .report import render_delta, render_keys, render_objects, shown_hash

STATUS_TABLES: Final = (
    (Kind.ENTRY, "ENTRY", ("zone", "status", "version")),
    (Kind.SIDECAR, "SIDECAR", ("zone", "kind", "models", "draining", "drain")),
    (Kind.SHARE, "SHARES OF", ("parts",)),
)
UPDATE_ATTEMPTS: Final = 8


@dataclass(frozen=True)
class Lists:
    """The files with the lists of accounts and plans."""

    accounts: Path
    plans: Path

    def read(self) -> Result[Catalog, Outcome]:
        """Return the parsed lists, or all mistakes in them."""
        try:
            accounts = self.accounts.read_text(encoding="utf-8")
            plans = self.plans.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            return Err(Outcome(ExitCode.MISTAKE, str(exc)))
        names = str(self.accounts), str(self.plans)
        result = parse_lists(accounts, plans, *names)
        if isinstance(result, Success):
            return result
        lines = "\n".join(str(mistake) for mistake in result.failure())
        return Err(Outcome(ExitCode.MISTAKE, lines))


def in_force(store: ObjectStore) -> Result[Catalog, Outcome]:
    """Return the newest configuration in the store."""
    head = read_head(store)
    if not isinstance(head, Success):
        return Err(unread(head.failure()))
    return Success(head.unwrap().catalog)


def diff(store: ObjectStore, lists: Lists) -> Outcome:
    """Show what ``apply`` would change."""
    wanted = lists.read()
    if not isinstance(wanted, Success):
        return wanted.failure()
    read = in_force(store)
    if not isinstance(read, Success):
        return read.failure()
    catalog = read.unwrap()
    delta = diff_lists(catalog, wanted.unwrap())
    if not delta:
        return Outcome(ExitCode.OK, f"no difference to version {catalog.version}")
    text = f"against version {catalog.version}:\n{render_delta(catalog, delta)}"
    return Outcome(ExitCode.DIFFERENT, text)


def apply(
    store: ObjectStore,
    writer: ChangeWriter,
    lists: Lists,
    expected: ConfigVersion | None = None,
) -> Outcome:
    """Make the lists the configuration in force.

    Parameters
    ----------
    store, writer
        Store to read from, and writer of changes.
    lists : Lists
        The two files.
    expected : ConfigVersion, optional
        Version that must be in force; another version is a conflict.
    """
    wanted = lists.read()
    if not isinstance(wanted, Success):
        return wanted.failure()
    read = in_force(store)
    if not isinstance(read, Success):
        return read.failure()
    catalog = read.unwrap()
    if expected is not None and catalog.version != expected:
        text = f"version {catalog.version} is in force, not {expected}"
        return Outcome(ExitCode.CONFLICT, f"conflict, nothing was written: {text}")
    delta = diff_lists(catalog, wanted.unwrap())
    if not delta:
        return Outcome(ExitCode.OK, f"already in force at version {catalog.version}")
    return _commit(writer, catalog, delta, render_delta(catalog, delta))


def _commit(
    writer: ChangeWriter, catalog: Catalog, delta: Delta, shown: str
) -> Outcome:
    result = writer.commit(catalog, delta)
    if not isinstance(result, Success):
        return commit_failed(result.failure())
    return Outcome(ExitCode.OK, f"{shown}\nversion {result.unwrap().version}")


def get(store: ObjectStore, directory: Path | None) -> Outcome:
    """Write the lists in force to a directory, or print them."""
    read = in_force(store)
    if not isinstance(read, Success):
        return read.failure()
    catalog = read.unwrap()
    accounts, plans = render_accounts(catalog), render_plans(catalog)
    if directory is None:
        head = f"# version {catalog.version}"
        text = f"{head}\n# accounts.ini\n{accounts}\n# plans.ini\n{plans}"
        return Outcome(ExitCode.OK, text.rstrip())
    try:
        (directory / "accounts.ini").write_text(accounts, encoding="utf-8")
        (directory / "plans.ini").write_text(plans, encoding="utf-8")
    except OSError as exc:
        return Outcome(ExitCode.MISTAKE, str(exc))
    return Outcome(ExitCode.OK, f"version {catalog.version} written to {directory}")


def issue_key(store: ObjectStore, writer: ChangeWriter, account: Account) -> Outcome:
    """Issue a key and show it; it can't be shown again."""
    read = in_force(store)
    if not isinstance(read, Success):
        return read.failure()
    issued = keys.issue(read.unwrap(), account)
    if not isinstance(issued, Success):
        return Outcome(ExitCode.REFUSED, issued.failure())
    key, delta = issued.unwrap()
    # The key is shown only if its write was acknowledged. Otherwise nobody knows the
    # key, so it gives no access.
    shown = f"key {key}\nhash {shown_hash(delta.keys[0])}"
    return _commit(writer, read.unwrap(), delta, shown)


def withdraw_key(store: ObjectStore, writer: ChangeWriter, prefix: str) -> Outcome:
    """Withdraw the key whose hash starts with ``prefix``."""
    read = in_force(store)
    if not isinstance(read, Success):
        return read.failure()
    found = keys.withdraw(read.unwrap(), prefix)
    if not isinstance(found, Success):
        return Outcome(ExitCode.REFUSED, found.failure())
    delta = found.unwrap()
    if not delta:
        return Outcome(ExitCode.OK, "already withdrawn")
    shown = f"withdrawn {shown_hash(delta.keys[0])}"
    return _commit(writer, read.unwrap(), delta, shown)


def list_keys(store: ObjectStore) -> Outcome:
    """List the keys by hash."""
    read = in_force(store)
    if not isinstance(read, Success):
        return read.failure()
    return Outcome(ExitCode.OK, render_keys(read.unwrap()))


def status(store: ObjectStore, asked: Ask = ask) -> Outcome:
    """Show the newest version, the entries, the sidecars and the shares."""
    read = in_force(store)
    if not isinstance(read, Success):
        return read.failure()
    parts = [f"version {read.unwrap().version}"]
    for kind, title, fields in STATUS_TABLES:
        listing = store.list_all(kind)
        if not isinstance(listing, Success):
            return unread(listing.failure())
        items: Iterable[StoredObject] = listing.unwrap().items
        if kind is Kind.ENTRY:
            items = with_answers(items, asked)
        parts.append(render_objects(title, fields, items))
    return Outcome(ExitCode.OK, "\n\n".join(parts))


def drain(store: ObjectStore, upstream: Upstream, wanted: bool) -> Outcome:
    """Ask an upstream's sidecar to refuse new requests, or to accept them again.

    The sidecar writes the same object, so a conflict does not imply another operator.
    The object is then read again and the field is set in the newer version.
    """
    for _ in range(UPDATE_ATTEMPTS):
        found = store.get(Kind.SIDECAR, upstream)
        if not isinstance(found, Success):
            return unread(found.failure())
        obj: StoredObject = found.unwrap()
        if bool(obj.spec.get("drain")) is wanted:
            word = "draining" if wanted else "taking work"
            return Outcome(ExitCode.OK, f"{upstream} is asked to be {word}")
        updated = store.update(obj, {**obj.spec, "drain": wanted})
        failed = not isinstance(updated, Success)
        # The next read shows whether an update without an answer was applied.
        if failed and updated.failure().error is StoreError.INVALID:
            return unread(updated.failure())
    return Outcome(ExitCode.CONFLICT, f"{upstream} changes too often; try again")
