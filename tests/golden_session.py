"""Golden files: the observations of callers and operators in a session."""

import os
from pathlib import Path

FOLDER = Path(__file__).parent / "golden"


class Session:
    """Records the steps of a session and compares them with its golden file.

    ``UPDATE_GOLDEN=1`` rewrites the file; the diff then goes through code review.
    """

    def __init__(self, name: str) -> None:
        self._path = FOLDER / f"{name}.txt"
        self._lines: list[str] = []

    def add(self, *parts: object) -> None:
        """Add one line."""
        self._lines.append(" ".join(str(part) for part in parts))

    def add_reply(self, step: str, reply) -> None:
        """Add a reply: its status, and the code and verdict of an error."""
        error = reply.json().get("error") if reply.body.startswith(b"{") else None
        if error is None:
            self.add(f"{step}:", reply.status)
            return
        retry = "" if error["retry_after_s"] is None else "come back"
        parts = [reply.status, error["code"], error["verdict"], retry]
        self.add(f"{step}:", *[part for part in parts if part])

    def check(self) -> None:
        """Compare with the golden file."""
        text = "\n".join(self._lines) + "\n"
        if os.environ.get("UPDATE_GOLDEN"):
            self._path.write_text(text)
        assert text.splitlines() == self._path.read_text().splitlines()
