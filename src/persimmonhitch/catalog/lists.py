"""The operators' two lists: accounts with their plans, and what each plan may use."""

import configparser
import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Account, Model, Plan, Service
from ..settings.load import Mistake
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
from .references import Dangling, dangling

NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,99}")
SERVICE_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
"""Stands in the path of a URL, so without a slash."""
PATTERN: Final = re.compile(r"[A-Za-z0-9*?\[][A-Za-z0-9._/*?\[\]-]{0,99}")
METHOD: Final = re.compile(r"\*|[A-Z]+")
NO_DEFAULTS: Final = "\0"
"""Name of the section whose keys would spread into all others: none."""

Parser = Callable[[str], Any]


class Unexpected(ValueError):
    """A value is not what its key demands; the text says what is."""


def _number(low: float, above: bool = False) -> Parser:
    bound = f"more than {low:g}" if above else f"at least {low:g}"

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        fits = value > low if above else value >= low
        if not fits or math.isinf(value):
            raise Unexpected(f"expected a number of {bound}, found {text!r}")
        return value

    return parse


def _one(pattern: re.Pattern[str]) -> Parser:
    def parse(text: str) -> str:
        if not pattern.fullmatch(text):
            raise Unexpected(f"expected a name, found {text!r}")
        return text

    return parse


def _patterns(text: str) -> tuple[str, ...]:
    parts = tuple(part.strip() for part in text.replace("\n", ",").split(","))
    for part in parts:
        if part and not PATTERN.fullmatch(part):
            raise Unexpected(f"expected names or patterns, found {part!r}")
    return tuple(part for part in parts if part)


def _priority(text: str) -> Priority:
    try:
        return Priority(text)
    except ValueError:
        words = " or ".join(each.value for each in Priority)
        raise Unexpected(f"expected {words}, found {text!r}") from None


def _repeatable(text: str) -> bool:
    if text not in ("yes", "no"):
        raise Unexpected(f"expected yes or no, found {text!r}")
    return text == "yes"


def _text(text: str) -> str:
    if not text or len(text) > 200:
        raise Unexpected("expected 1 to 200 characters")
    return text


@dataclass(frozen=True)
class Key:
    """One key of a section; without a default it must be given."""

    parse: Parser
    default: Any = None
    needed: bool = True


@dataclass(frozen=True)
class Layout:
    """What a section of one sort holds and how its name is built."""

    words: tuple[re.Pattern[str], ...]
    keys: dict[str, Key]


ACCOUNT_LAYOUT: Final = {"account": Layout((NAME,), {"plan": Key(_one(NAME))})}
PLAN_LAYOUT: Final = {
    "plan": Layout(
        (NAME,),
        {
            "rate": Key(_number(0, above=True)),
            "burst": Key(_number(1)),
            "weight": Key(_number(0, above=True), 1.0, needed=False),
            "priority": Key(_priority, Priority.INTERACTIVE, needed=False),
            "models": Key(_patterns, (), needed=False),
            "services": Key(_patterns, (), needed=False),
        },
    ),
    "model": Layout(
        (NAME,),
        {
            "memory": Key(_number(0, above=True)),
            "kv_memory": Key(_number(0), 0.0, needed=False),
            "revision": Key(_text),
            "base": Key(_one(NAME), None, needed=False),
        },
    ),
    "service": Layout((SERVICE_NAME,), {"cost": Key(_number(0))}),
    "route": Layout(
        (SERVICE_NAME, METHOD, re.compile(r"/\S*")),
        {"repeatable": Key(_repeatable)},
    ),
}


@dataclass
class _Section:
    sort: str
    words: list[str]
    values: dict[str, Any]


@dataclass
class _File:
    """One list while it is read: its sections and the mistakes in it."""

    name: str
    layouts: dict[str, Layout]
    sections: list[_Section] = field(default_factory=list)
    mistakes: list[Mistake] = field(default_factory=list)

    def mistake(self, section: str, key: str, expected: str) -> None:
        self.mistakes.append(Mistake(self.name, section, key, expected))

    def read(self, text: str) -> None:
        ini = configparser.ConfigParser(
            interpolation=None, delimiters=("=",), default_section=NO_DEFAULTS
        )
        try:
            ini.read_string(text, source=self.name)
        except configparser.Error as exc:
            self.mistake("-", "-", " ".join(str(exc).split()))
            return
        for name in ini.sections():
            self._read_section(name, dict(ini[name]))

    def _read_section(self, name: str, found: dict[str, str]) -> None:
        sort, *words = name.split()
        layout = self.layouts.get(sort)
        if layout is None:
            known = ", ".join(self.layouts)
            self.mistake(name, "-", f"unknown section; expected one of: {known}")
            return
        if not self._named_well(layout, words):
            self.mistake(name, "-", _title(sort))
        for key in found.keys() - layout.keys.keys():
            known = ", ".join(layout.keys)
            self.mistake(name, key, f"unknown key; expected one of: {known}")
        values = {key: self._value(name, key, layout, found) for key in layout.keys}
        self.sections.append(_Section(sort, words, values))

    def _named_well(self, layout: Layout, words: list[str]) -> bool:
        if len(words) != len(layout.words):
            return False
        pairs = zip(layout.words, words, strict=True)
        return all(pattern.fullmatch(word) for pattern, word in pairs)

    def _value(self, name: str, key: str, layout: Layout, found: dict[str, str]) -> Any:
        rule = layout.keys[key]
        if key not in found:
            if rule.needed:
                self.mistake(name, key, "missing, must be given")
            return rule.default
        try:
            return rule.parse(found[key].strip())
        except Unexpected as exc:
            self.mistake(name, key, str(exc))
            return rule.default

    def of(self, sort: str) -> Iterator[_Section]:
        """Yield the sections of one sort in their order."""
        return (section for section in self.sections if section.sort == sort)


def _title(sort: str) -> str:
    if sort == "route":
        return "expected a title [route SERVICE METHOD /PATH]"
    return f"expected a title [{sort} NAME]"


def _routes(plans: _File) -> dict[str, tuple[RouteEntry, ...]]:
    services = {section.words[0] for section in plans.of("service")}
    routes: dict[str, tuple[RouteEntry, ...]] = {}
    for section in plans.of("route"):
        service, method, path = section.words
        if service not in services:
            title = f"route {service} {method} {path}"
            plans.mistake(title, "-", f"no service named {service!r}")
        route = RouteEntry(method, path, section.values["repeatable"])
        routes[service] = (*routes.get(service, ()), route)
    return routes


def _build(accounts: _File, plans: _File) -> Catalog:
    routes = _routes(plans)
    return Catalog(
        accounts={
            Account(section.words[0]): AccountEntry(
                Account(section.words[0]), section.values["plan"]
            )
            for section in accounts.of("account")
        },
        plans={
            Plan(section.words[0]): PlanEntry(Plan(section.words[0]), **section.values)
            for section in plans.of("plan")
        },
        models={
            Model(section.words[0]): ModelEntry(
                Model(section.words[0]), **section.values
            )
            for section in plans.of("model")
        },
        services={
            Service(section.words[0]): ServiceEntry(
                Service(section.words[0]),
                section.values["cost"],
                routes.get(section.words[0], ()),
            )
            for section in plans.of("service")
        },
    )


def _located(found: Dangling, accounts: _File, plans: _File) -> Mistake:
    file = accounts if found.ref.kind is EntryKind.ACCOUNT else plans
    return Mistake(file.name, str(found.ref), found.key, found.expected)


def parse_lists(
    accounts: str,
    plans: str,
    accounts_file: str = "accounts.ini",
    plans_file: str = "plans.ini",
) -> Result[Catalog, tuple[Mistake, ...]]:
    """Read both lists.

    Parameters
    ----------
    accounts, plans : str
        Content of the two files.
    accounts_file, plans_file : str
        Their names, for the mistakes.

    Returns
    -------
    Result
        A catalog without keys at version 0, or every mistake in both files.
    """
    first = _File(accounts_file, ACCOUNT_LAYOUT)
    second = _File(plans_file, PLAN_LAYOUT)
    first.read(accounts)
    second.read(plans)
    # A section with a wrong title has no name to build an entry from.
    if first.mistakes or second.mistakes:
        return Err((*first.mistakes, *second.mistakes))
    catalog = _build(first, second)
    loose = [_located(each, first, second) for each in dangling(catalog)]
    mistakes = (*first.mistakes, *second.mistakes, *loose)
    return Err(mistakes) if mistakes else Success(catalog)
