"""Parser of the operators' two lists: accounts, and plans with models and services."""

import configparser
import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Account, Model, Plan, Service
from ..settings.load import SettingsIssue
from ..wire.messages import Priority
from .changes import EntryKind
from .model import (
    AccountEntry,
    Catalog,
    ModelEntry,
    PlanEntry,
    RouteEntry,
    ServiceEntry,
)
from .references import DanglingRef, find_dangling

NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,99}")
SERVICE_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
"""Part of a URL path and therefore without a slash."""
PATTERN: Final = re.compile(r"[A-Za-z0-9*?\[][A-Za-z0-9._/*?\[\]-]{0,99}")
METHOD: Final = re.compile(r"\*|[A-Z]+")
NO_DEFAULTS: Final = "\0"
"""Impossible name of the default section, whose keys all sections would inherit."""

Parser = Callable[[str], Any]


class InvalidValue(ValueError):
    """A value does not fit its key; the text states the expected value."""


def _number(minimum: float, exclusive: bool = False) -> Parser:
    bound = f"more than {minimum:g}" if exclusive else f"at least {minimum:g}"

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        valid = value > minimum if exclusive else value >= minimum
        if not valid or math.isinf(value):
            raise InvalidValue(f"expected a number of {bound}, found {text!r}")
        return value

    return parse


def _name(pattern: re.Pattern[str]) -> Parser:
    def parse(text: str) -> str:
        if not pattern.fullmatch(text):
            raise InvalidValue(f"expected a name, found {text!r}")
        return text

    return parse


def _patterns(text: str) -> tuple[str, ...]:
    parts = tuple(part.strip() for part in text.replace("\n", ",").split(","))
    for part in parts:
        if part and not PATTERN.fullmatch(part):
            raise InvalidValue(f"expected names or patterns, found {part!r}")
    return tuple(part for part in parts if part)


def _priority(text: str) -> Priority:
    try:
        return Priority(text)
    except ValueError:
        choices = " or ".join(priority.value for priority in Priority)
        raise InvalidValue(f"expected {choices}, found {text!r}") from None


def _repeatable(text: str) -> bool:
    if text not in ("yes", "no"):
        raise InvalidValue(f"expected yes or no, found {text!r}")
    return text == "yes"


def _text(text: str) -> str:
    if not text or len(text) > 200:
        raise InvalidValue("expected 1 to 200 characters")
    return text


@dataclass(frozen=True)
class KeyRule:
    """Parser of a key of a section, and the default if the key is optional."""

    parse: Parser
    default: Any = None
    required: bool = True


@dataclass(frozen=True)
class Layout:
    """Patterns of the title and rules of the keys of a kind of section."""

    title: tuple[re.Pattern[str], ...]
    keys: dict[str, KeyRule]


ACCOUNT_LAYOUT: Final = {"account": Layout((NAME,), {"plan": KeyRule(_name(NAME))})}
PLAN_LAYOUT: Final = {
    "plan": Layout(
        (NAME,),
        {
            "rate": KeyRule(_number(0, exclusive=True)),
            "burst": KeyRule(_number(1)),
            "weight": KeyRule(_number(0, exclusive=True), 1.0, required=False),
            "priority": KeyRule(_priority, Priority.INTERACTIVE, required=False),
            "models": KeyRule(_patterns, (), required=False),
            "services": KeyRule(_patterns, (), required=False),
        },
    ),
    "model": Layout(
        (NAME,),
        {
            "memory": KeyRule(_number(0, exclusive=True)),
            "kv_memory": KeyRule(_number(0), 0.0, required=False),
            "revision": KeyRule(_text),
            "base": KeyRule(_name(NAME), None, required=False),
        },
    ),
    "service": Layout((SERVICE_NAME,), {"cost": KeyRule(_number(0))}),
    "route": Layout(
        (SERVICE_NAME, METHOD, re.compile(r"/\S*")),
        {"repeatable": KeyRule(_repeatable)},
    ),
}


@dataclass
class _Section:
    kind: str
    title: list[str]
    values: dict[str, Any]


@dataclass
class _ListFile:
    """Sections of a list read so far, and the mistakes found."""

    name: str
    layouts: dict[str, Layout]
    sections: list[_Section] = field(default_factory=list)
    mistakes: list[SettingsIssue] = field(default_factory=list)

    def add_mistake(self, section: str, key: str, expected: str) -> None:
        self.mistakes.append(SettingsIssue(self.name, section, key, expected))

    def read(self, text: str) -> None:
        ini = configparser.ConfigParser(
            interpolation=None, delimiters=("=",), default_section=NO_DEFAULTS
        )
        try:
            ini.read_string(text, source=self.name)
        except configparser.Error as exc:
            self.add_mistake("-", "-", " ".join(str(exc).split()))
            return
        for name in ini.sections():
            self._read_section(name, dict(ini[name]))

    def _read_section(self, name: str, pairs: dict[str, str]) -> None:
        kind, *names = name.split()
        layout = self.layouts.get(kind)
        if layout is None:
            known = ", ".join(self.layouts)
            self.add_mistake(name, "-", f"unknown section; expected one of: {known}")
            return
        if not self._title_valid(layout, names):
            self.add_mistake(name, "-", _expected_title(kind))
        for key in pairs.keys() - layout.keys.keys():
            known = ", ".join(layout.keys)
            self.add_mistake(name, key, f"unknown key; expected one of: {known}")
        values = {key: self._value(name, key, layout, pairs) for key in layout.keys}
        self.sections.append(_Section(kind, names, values))

    def _title_valid(self, layout: Layout, names: list[str]) -> bool:
        if len(names) != len(layout.title):
            return False
        pairs = zip(layout.title, names, strict=True)
        return all(pattern.fullmatch(name) for pattern, name in pairs)

    def _value(self, name: str, key: str, layout: Layout, pairs: dict[str, str]) -> Any:
        rule = layout.keys[key]
        if key not in pairs:
            if rule.required:
                self.add_mistake(name, key, "missing, must be given")
            return rule.default
        try:
            return rule.parse(pairs[key].strip())
        except InvalidValue as exc:
            self.add_mistake(name, key, str(exc))
            return rule.default

    def of_kind(self, kind: str) -> Iterator[_Section]:
        """Yield the sections of a kind in file order."""
        return (section for section in self.sections if section.kind == kind)


def _expected_title(kind: str) -> str:
    if kind == "route":
        return "expected a title [route SERVICE METHOD /PATH]"
    return f"expected a title [{kind} NAME]"


def _routes(plans: _ListFile) -> dict[str, tuple[RouteEntry, ...]]:
    services = {section.title[0] for section in plans.of_kind("service")}
    routes: dict[str, tuple[RouteEntry, ...]] = {}
    for section in plans.of_kind("route"):
        service, method, path = section.title
        if service not in services:
            title = f"route {service} {method} {path}"
            plans.add_mistake(title, "-", f"no service named {service!r}")
        route = RouteEntry(method, path, section.values["repeatable"])
        routes[service] = (*routes.get(service, ()), route)
    return routes


def _build(accounts: _ListFile, plans: _ListFile) -> Catalog:
    routes = _routes(plans)
    return Catalog(
        accounts={
            Account(section.title[0]): AccountEntry(
                Account(section.title[0]), section.values["plan"]
            )
            for section in accounts.of_kind("account")
        },
        plans={
            Plan(section.title[0]): PlanEntry(Plan(section.title[0]), **section.values)
            for section in plans.of_kind("plan")
        },
        models={
            Model(section.title[0]): ModelEntry(
                Model(section.title[0]), **section.values
            )
            for section in plans.of_kind("model")
        },
        services={
            Service(section.title[0]): ServiceEntry(
                Service(section.title[0]),
                section.values["cost"],
                routes.get(section.title[0], ()),
            )
            for section in plans.of_kind("service")
        },
    )


def _mistake(ref: DanglingRef, accounts: _ListFile, plans: _ListFile) -> SettingsIssue:
    file = accounts if ref.entry.kind is EntryKind.ACCOUNT else plans
    return SettingsIssue(file.name, str(ref.entry), ref.key, ref.expected)


def parse_lists(
    accounts: str,
    plans: str,
    accounts_file: str = "accounts.ini",
    plans_file: str = "plans.ini",
) -> Result[Catalog, tuple[SettingsIssue, ...]]:
    """Parse both lists.

    Parameters
    ----------
    accounts, plans : str
        Contents of the two files.
    accounts_file, plans_file : str
        Names of the two files, for the mistakes.

    Returns
    -------
    Result
        A catalog without keys at version 0, or all mistakes in both files.
    """
    account_list = _ListFile(accounts_file, ACCOUNT_LAYOUT)
    plan_list = _ListFile(plans_file, PLAN_LAYOUT)
    account_list.read(accounts)
    plan_list.read(plans)
    # An entry cannot be built from a section with an invalid title.
    if account_list.mistakes or plan_list.mistakes:
        return Err((*account_list.mistakes, *plan_list.mistakes))
    catalog = _build(account_list, plan_list)
    errors = [_mistake(ref, account_list, plan_list) for ref in find_dangling(catalog)]
    mistakes = (*account_list.mistakes, *plan_list.mistakes, *errors)
    return Err(mistakes) if mistakes else Success(catalog)
