"""Adapter loads of the leader, for waiting callers and for refused ones."""

import threading
from collections.abc import Callable, Iterable

from ..decide.refused_adapters import RefusedAdapters
from ..ids import Adapter, Model
from ..observe.logs import log
from .engine_controller import MAX_CONCURRENT_ADAPTER_LOADS, EngineController
from .engine_state import usable_models


class AdapterLoads:
    """Loads adapters, and remembers those that no engine has loaded.

    Parameters
    ----------
    submit : callable
        Runs a function on another thread.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, submit: Callable[..., object], clock: Callable[[], float]
    ) -> None:
        self._submit = submit
        self._clock = clock
        self._refused = RefusedAdapters()
        self._lock = threading.Lock()

    def pending(self) -> list[tuple[Model, Adapter]]:
        """Return the adapters that were refused and are not loaded yet."""
        with self._lock:
            return self._refused.pending()

    def record_refused(self, model: Model, adapter: Adapter) -> None:
        """Record a request that found no engine with the adapter."""
        with self._lock:
            is_new = self._refused.record(model, adapter, self._clock())
        if is_new:
            log("adapter_missing", model=model, adapter=adapter)

    def load(
        self, controller: EngineController, model: Model, adapter: Adapter
    ) -> bool:
        """Load an adapter for a waiting caller; return whether it is ready."""
        if controller.load_adapter(model, adapter):
            return True
        log(
            "adapter_not_loaded",
            upstream=controller.engine.record.name,
            model=model,
            adapter=adapter,
            loading=controller.engine.loading or "-",
            evicting=",".join(sorted(controller.engine.evicting)) or "-",
        )
        self.record_refused(model, adapter)
        return False

    def load_refused(self, controllers: Iterable[EngineController]) -> None:
        """Load the adapters of refused requests on engines that accept the orders.

        Their callers may have left; they find the adapter loaded when they return.
        """
        now, engines = self._clock(), list(controllers)
        with self._lock:
            self._refused.expire(now)
        if not self.pending():
            return
        self._forget_loaded(engines, now)
        for controller in engines:
            if not controller.accepts_adapters():
                continue
            models = usable_models(controller.engine)
            with self._lock:
                pairs = self._refused.next_loads(
                    models, MAX_CONCURRENT_ADAPTER_LOADS, now
                )
            for pair in pairs:
                self._submit(self._load_refused, controller, *pair)

    def _forget_loaded(self, engines: list[EngineController], now: float) -> None:
        loaded = {
            (model, adapter)
            for controller in engines
            for model, adapters in usable_models(controller.engine).items()
            for adapter in adapters
        }
        for pair in loaded.intersection(self.pending()):
            with self._lock:
                seconds = self._refused.record_loaded(pair, now)
            if seconds is not None:
                log(
                    "adapter_missing_ended",
                    model=pair[0],
                    adapter=pair[1],
                    missing_for=seconds,
                )

    def _load_refused(
        self, controller: EngineController, model: Model, adapter: Adapter
    ) -> None:
        loaded = controller.load_adapter(model, adapter, waiting=False)
        log(
            "refused_adapter_load",
            upstream=controller.engine.record.name,
            model=model,
            adapter=adapter,
            loaded=loaded,
        )
