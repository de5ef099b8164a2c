"""Formatting of a catalog as the operators' two lists."""

from collections.abc import Iterable, Iterator

from .model import Catalog, ModelEntry, PlanEntry, ServiceEntry


def _section(title: str, pairs: Iterable[tuple[str, str]]) -> str:
    lines = [f"[{title}]", *(f"{key} = {value}" for key, value in pairs)]
    return "\n".join(lines) + "\n"


def _plan(plan: PlanEntry) -> str:
    pairs = [
        ("rate", f"{plan.rate!r}"),
        ("burst", f"{plan.burst!r}"),
        ("weight", f"{plan.weight!r}"),
        ("priority", plan.priority.value),
        ("models", ", ".join(plan.models)),
        ("services", ", ".join(plan.services)),
    ]
    return _section(f"plan {plan.name}", ((k, v) for k, v in pairs if v))


def _model(model: ModelEntry) -> str:
    pairs = [
        ("memory", f"{model.memory!r}"),
        ("kv_memory", f"{model.kv_memory!r}"),
        ("revision", model.revision),
        ("base", model.base or ""),
    ]
    return _section(f"model {model.name}", ((k, v) for k, v in pairs if v))


def _service(service: ServiceEntry) -> Iterator[str]:
    yield _section(f"service {service.name}", [("cost", f"{service.cost!r}")])
    # Routes stay in order, since the first matching route applies.
    for route in service.routes:
        repeatable = "yes" if route.repeatable else "no"
        title = f"route {service.name} {route.method} {route.path}"
        yield _section(title, [("repeatable", repeatable)])


def render_accounts(catalog: Catalog) -> str:
    """Return the list of accounts, sorted by name."""
    entries = sorted(catalog.accounts.values(), key=lambda entry: entry.name)
    return "\n".join(
        _section(f"account {entry.name}", [("plan", entry.plan)]) for entry in entries
    )


def render_plans(catalog: Catalog) -> str:
    """Return the list of plans, models and services, each sorted by name."""
    plans = sorted(catalog.plans.values(), key=lambda entry: entry.name)
    models = sorted(catalog.models.values(), key=lambda entry: entry.name)
    services = sorted(catalog.services.values(), key=lambda entry: entry.name)
    sections = [_plan(plan) for plan in plans]
    sections += [_model(model) for model in models]
    sections += [part for service in services for part in _service(service)]
    return "\n".join(sections)
