"""Output and exit code of a command."""

from dataclasses import dataclass
from enum import IntEnum

from ..catalog.log import CommitError, CommitFailure
from ..store.objects import StoreError, StoreFailure


class ExitCode(IntEnum):
    """Exit codes of every command."""

    OK = 0
    """Done, or nothing to do."""
    DIFFERENT = 1
    """``diff`` found differences; ``apply --dry-run`` too."""
    MISTAKE = 2
    """Wrong usage, settings or lists; nothing was written."""
    CONFLICT = 3
    """Another operator has made a change; nothing was written."""
    UNAVAILABLE = 4
    """The store is unavailable; nothing was written."""
    UNKNOWN = 5
    """The store did not answer the write; run the command again."""
    REFUSED = 6
    """The named object does not exist; nothing was written."""


@dataclass(frozen=True)
class Outcome:
    """Result of a command; the text of a failure goes to standard error."""

    code: ExitCode
    text: str


COMMIT_CODES = {
    CommitError.CONFLICT: ExitCode.CONFLICT,
    CommitError.INVALID: ExitCode.CONFLICT,
    CommitError.UNAVAILABLE: ExitCode.UNAVAILABLE,
    CommitError.UNKNOWN: ExitCode.UNKNOWN,
}
COMMIT_WORDS = {
    CommitError.CONFLICT: "conflict, nothing was written",
    CommitError.INVALID: "conflict with a later change, nothing was written",
    CommitError.UNAVAILABLE: "the store is unavailable, nothing was written",
    CommitError.UNKNOWN: "not known whether it was written; run it again",
}


def commit_failed(exc: CommitFailure) -> Outcome:
    """Return the outcome of a commit that failed or got no answer."""
    return Outcome(COMMIT_CODES[exc.error], f"{COMMIT_WORDS[exc.error]}: {exc.detail}")


def unread(exc: StoreFailure) -> Outcome:
    """Return the outcome of a read that failed."""
    if exc.error is StoreError.NOT_FOUND:
        return Outcome(ExitCode.REFUSED, f"not found: {exc.detail}")
    return Outcome(ExitCode.UNAVAILABLE, f"the store is unavailable: {exc.detail}")
