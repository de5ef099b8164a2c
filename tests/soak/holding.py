"""What an engine of the soak holds, and the orders that change it."""

import time

GUARD = 3.0
"""Seconds that must lie between the orders of two holders to one engine."""
THAW = 0.4
"""Seconds after a pause of an entry, or a fault of an engine's connections, in which
orders that were held back arrive."""
LOAD_TIME, DISK_TIME = 1.0, 0.3


class Holding:
    """Models and adapters of one engine; ``in_use`` returns those that calls use."""

    def __init__(self, spec, records, lock, in_use):
        self.spec = spec
        self.models = {name: set() for name in spec.models}
        self.disk = set(spec.models)
        self.orders = 0
        self.loading = None
        self.ready_at = 0.0
        self.ending = set()
        """Adapters whose unload waits for the calls that use them."""
        self._records = records
        self._lock = lock
        self._in_use = in_use
        self._last_order = None

    def has(self, model, adapter=None):
        """Return whether a call for a model and adapter can run now."""
        with self._lock:
            self._settle()
            adapters = self.models.get(model)
            return adapters is not None and (adapter is None or adapter in adapters)

    def told(self):
        """Return what it holds, as its entry and its report say it."""
        with self._lock:
            self._settle()
            models = [
                {"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in self.models.items()
            ]
            available = {"in_memory": [], "on_disk": sorted(self.disk)}
            return {"models": models, "available": available}

    def report(self):
        """Return what an engine reports of itself."""
        with self._lock:
            self._settle()
            return {
                "stage": "colocated",
                "busy": self.loading is not None,
                "sequence": self.orders,
                **self.told(),
            }

    def _settle(self):
        if self.loading is not None and time.monotonic() >= self.ready_at:
            self.models[self.loading] = set()
            self.disk.add(self.loading)
            self.loading = None
        used = self._in_use()
        for model, adapter in list(self.ending):
            if f"{model}/{adapter}" not in used:
                self.models.get(model, set()).discard(adapter)
                self.ending.discard((model, adapter))

    def judge(self, order):
        """Note orders of two holders that come too close to each other."""
        now, holder = time.monotonic(), order["holder"]
        token = order["fencing_token"]
        with self._lock:
            last, self._last_order = self._last_order, (now, holder, token)
        if last is None or last[1] == holder:
            return
        close = now - last[0] < GUARD
        if (token <= last[2] or close) and not self._excused(holder, now):
            self._records.break_promise(
                f"one orderer: {self.spec.name} got epoch {token} of {holder} "
                f"{now - last[0]:.2f} s after epoch {last[2]} of {last[1]}"
            )

    def _excused(self, entry, now):
        """Return whether an order may have left long before it arrived."""
        return any(
            span.begin <= now <= span.end + THAW
            for span in self._records.all_spans()
            if (span.where == entry and span.what == "pause")
            or (span.where == self.spec.name and span.what.endswith("path"))
        )

    def carry_out(self, order):
        """Carry an order out; return the status of its answer."""
        with self._lock:
            self._settle()
            if self.loading is not None:
                return 409
            if order.get("precondition", self.orders) != self.orders:
                return 409
            if "adapter" in order:
                return self._adapter(order)
            return self._model(order)

    def _adapter(self, order):
        model, adapter = order["model"], order["adapter"]
        names = self.models.get(model)
        if names is None:
            return 421
        if order["operation"] == "unload":
            self.orders += 1
            if f"{model}/{adapter}" in self._in_use():
                self.ending.add((model, adapter))
                return 202
            names.discard(adapter)
            return 200
        if adapter in names:
            return 200
        self.orders += 1
        names.add(adapter)
        places = sum(len(found) for found in self.models.values())
        if places > self.spec.adapter_slots:
            self._overfull(f"{places} adapters")
        return 202

    def _model(self, order):
        model = order["model"]
        if order["operation"] == "unload":
            if model not in self.models:
                return 200
            self.orders += 1
            del self.models[model]
            return 202
        if model in self.models:
            return 200
        self.orders += 1
        taken = (len(self.models) + 1) * self.spec.model_memory
        if taken > self.spec.memory:
            self._overfull(f"{taken:g} MB of models")
        self.loading = model
        time_taken = DISK_TIME if model in self.disk else LOAD_TIME
        self.ready_at = time.monotonic() + time_taken
        return 202

    def _overfull(self, what):
        self._records.break_promise(f"memory: {self.spec.name} was ordered {what}")
