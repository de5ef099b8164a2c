"""Registration record of a process in the store, by which peers discover it."""

import threading
from typing import Final

from returns.result import Success

from ..kernel.threads import service_thread
from ..observe.logs import log
from .objects import Kind, ObjectStore, Spec, StoredObject, StoreError

RETRY_INTERVAL_S: Final = 1.0


class Registration:
    """Writes the registration record of this process and retries failed writes.

    The record is written at the start and on each change, never as a heartbeat: in the
    largest fleet, the heartbeats of 5,500 processes would load the store more than all
    other calls. While the store is unavailable, writes are retried.
    """

    def __init__(self, store: ObjectStore, kind: Kind, name: str) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._desired: Spec | None = None
        self._changed = threading.Event()
        self._stopping = threading.Event()
        self.written = threading.Event()
        self._thread = service_thread(f"register-{kind.value}", self._run)

    def start(self, spec: Spec) -> None:
        """Start the thread that writes the record."""
        self.update(spec)
        self._thread.start()

    def update(self, spec: Spec) -> None:
        """Replace the content of the record."""
        self._desired = spec
        self._changed.set()

    def rewrite(self) -> None:
        """Write the record again, in case the store has lost the record."""
        if self._desired is not None:
            self._changed.set()

    def remove(self) -> None:
        """Stop writing and delete the record, as part of a clean shutdown."""
        self._stopping.set()
        self._changed.set()
        current = self._store.get(self._kind, self._name)
        if isinstance(current, Success):
            self._store.delete(current.unwrap())

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._changed.wait()
            self._changed.clear()
            desired = self._desired
            if desired is None or self._stopping.is_set():
                continue
            is_written = False
            try:
                is_written = self._write(desired)
            finally:
                if not is_written:
                    self._changed.set()
            if is_written:
                self.written.set()
            else:
                self._stopping.wait(RETRY_INTERVAL_S)

    def _write(self, spec: Spec) -> bool:
        created = self._store.create(self._kind, self._name, spec)
        if isinstance(created, Success):
            return True
        if created.failure().error is not StoreError.EXISTS:
            log("register_failed", name=self._name, detail=created.failure().detail)
            return False
        current = self._store.get(self._kind, self._name)
        return isinstance(current, Success) and self._replace(current.unwrap(), spec)

    def _replace(self, old: StoredObject, spec: Spec) -> bool:
        # Retain keys set by other writers, such as an operator's request to drain.
        merged = {**old.spec, **spec}
        if merged == old.spec:
            return True
        return isinstance(self._store.update(old, merged), Success)
