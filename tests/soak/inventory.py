"""Resident models and adapters of a simulated engine, and orders to change them."""

import time

MIN_LEADER_GAP_S = 3.0
"""Minimum seconds between orders of two different leaders to one engine."""
LATE_ORDER_S = 0.4
"""Seconds after the pause of an entry, or after a path fault of an engine, in which
delayed orders may arrive."""
LOAD_TIME_S, DISK_LOAD_TIME_S = 1.0, 0.3
"""Load times of a model from the weight store and from disk."""


class Inventory:
    """Models and adapters of one engine.

    ``in_use`` returns the models and adapters of running requests.
    """

    def __init__(self, spec, records, lock, in_use):
        self.spec = spec
        self.models = {name: set() for name in spec.models}
        self.disk = set(spec.models)
        self.order_count = 0
        self.loading = None
        self.loaded_at = 0.0
        self.unloading = set()
        """Adapters whose unload waits for running requests."""
        self._records = records
        self._lock = lock
        self._in_use = in_use
        self._last_order = None

    def is_resident(self, model, adapter=None):
        """Return whether the model, and the adapter if given, are resident."""
        with self._lock:
            self._apply_finished()
            adapters = self.models.get(model)
            return adapters is not None and (adapter is None or adapter in adapters)

    def snapshot(self):
        """Return the inventory as the registration record and the report contain it."""
        with self._lock:
            self._apply_finished()
            models = [
                {"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in self.models.items()
            ]
            available = {"in_memory": [], "on_disk": sorted(self.disk)}
            return {"models": models, "available": available}

    def report(self):
        """Return the status report of the engine."""
        with self._lock:
            self._apply_finished()
            return {
                "stage": "colocated",
                "busy": self.loading is not None,
                "sequence": self.order_count,
                **self.snapshot(),
            }

    def _apply_finished(self):
        if self.loading is not None and time.monotonic() >= self.loaded_at:
            self.models[self.loading] = set()
            self.disk.add(self.loading)
            self.loading = None
        used = self._in_use()
        for model, adapter in list(self.unloading):
            if f"{model}/{adapter}" not in used:
                self.models.get(model, set()).discard(adapter)
                self.unloading.discard((model, adapter))

    def check_order(self, order):
        """Record a failure if two leaders' orders are too close or the epoch falls."""
        now, holder = time.monotonic(), order["holder"]
        token = order["fencing_token"]
        with self._lock:
            last, self._last_order = self._last_order, (now, holder, token)
        if last is None or last[1] == holder:
            return
        too_close = now - last[0] < MIN_LEADER_GAP_S
        if (token <= last[2] or too_close) and not self._may_be_delayed(holder, now):
            self._records.report_failure(
                f"one leader: {self.spec.name} got epoch {token} of {holder} "
                f"{now - last[0]:.2f} s after epoch {last[2]} of {last[1]}"
            )

    def _may_be_delayed(self, entry, now):
        """Return whether a fault may have delayed the order in transit."""
        return any(
            span.begin <= now <= span.end + LATE_ORDER_S
            for span in self._records.all_spans()
            if (span.target == entry and span.fault == "pause")
            or (span.target == self.spec.name and span.fault.endswith("path"))
        )

    def execute(self, order):
        """Execute an order; return the HTTP status of its answer."""
        with self._lock:
            self._apply_finished()
            if self.loading is not None:
                return 409
            if order.get("precondition", self.order_count) != self.order_count:
                return 409
            if "adapter" in order:
                return self._execute_for_adapter(order)
            return self._execute_for_model(order)

    def _execute_for_adapter(self, order):
        model, adapter = order["model"], order["adapter"]
        resident = self.models.get(model)
        if resident is None:
            return 421
        if order["operation"] == "unload":
            self.order_count += 1
            if f"{model}/{adapter}" in self._in_use():
                self.unloading.add((model, adapter))
                return 202
            resident.discard(adapter)
            return 200
        if adapter in resident:
            return 200
        self.order_count += 1
        resident.add(adapter)
        adapter_count = sum(len(adapters) for adapters in self.models.values())
        if adapter_count > self.spec.adapter_slots:
            self._report_overload(f"{adapter_count} adapters")
        return 202

    def _execute_for_model(self, order):
        model = order["model"]
        if order["operation"] == "unload":
            if model not in self.models:
                return 200
            self.order_count += 1
            del self.models[model]
            return 202
        if model in self.models:
            return 200
        self.order_count += 1
        memory = (len(self.models) + 1) * self.spec.model_memory
        if memory > self.spec.memory:
            self._report_overload(f"{memory:g} MB of models")
        self.loading = model
        load_time = DISK_LOAD_TIME_S if model in self.disk else LOAD_TIME_S
        self.loaded_at = time.monotonic() + load_time
        return 202

    def _report_overload(self, load):
        self._records.report_failure(f"memory: {self.spec.name} was ordered {load}")
