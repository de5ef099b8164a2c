"""Golden files: what callers and operators saw in a whole session, line by line."""

import os
from pathlib import Path

FOLDER = Path(__file__).parent / "golden"


class Session:
    """Notes the steps of a session and holds them against its golden file.

    With ``UPDATE_GOLDEN=1`` the file is written anew; its change is then read in
    review like any other.
    """

    def __init__(self, name: str) -> None:
        self._path = FOLDER / f"{name}.txt"
        self._lines: list[str] = []

    def add(self, *words: object) -> None:
        """Add one line."""
        self._lines.append(" ".join(str(word) for word in words))

    def add_reply(self, step: str, reply) -> None:
        """Add what a caller got: status, and code and verdict of an error."""
        error = reply.json().get("error") if reply.body.startswith(b"{") else None
        if error is None:
            self.add(f"{step}:", reply.status)
            return
        back = "" if error["retry_after_s"] is None else "come back"
        words = [reply.status, error["code"], error["verdict"], back]
        self.add(f"{step}:", *[word for word in words if word])

    def check(self) -> None:
        """Compare with the golden file."""
        text = "\n".join(self._lines) + "\n"
        if os.environ.get("UPDATE_GOLDEN"):
            self._path.write_text(text)
        assert text.splitlines() == self._path.read_text().splitlines()
