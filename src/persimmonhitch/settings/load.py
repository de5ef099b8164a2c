"""Load a settings file into a dataclass and report every error in the file."""

import configparser
import sys
from collections.abc import Callable, Iterator
from dataclasses import MISSING, Field, dataclass, field, fields
from pathlib import Path
from typing import Any, Final, TypeVar, get_type_hints

from returns.result import Failure as Err
from returns.result import Result, Success

T = TypeVar("T")

EXIT_BAD_SETTINGS: Final = 2
TRUE_WORDS: Final = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS: Final = frozenset({"no", "false", "off", "0"})


@dataclass(frozen=True)
class SettingsIssue:
    """An error in a settings file, with the value that was expected."""

    file: str
    section: str
    key: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}: [{self.section}] {self.key}: {self.expected}"


def setting(
    section: str,
    key: str,
    help: str,
    default: Any = MISSING,
    low: float | None = None,
    high: float | None = None,
) -> Any:
    """Declare a dataclass field as a setting.

    Parameters
    ----------
    section, key : str
        Section and key in the settings file.
    help : str
        Description of the setting with its unit, shown in the operators' table.
    default : optional
        Value if the key is absent; without a default the key is required.
    low, high : float, optional
        Inclusive bounds of a numeric setting.
    """
    metadata = {"section": section, "key": key, "help": help, "low": low, "high": high}
    return field(default=default, metadata=metadata)


def _parse_bool(text: str) -> bool:
    lowered = text.lower()
    if lowered in TRUE_WORDS:
        return True
    if lowered in FALSE_WORDS:
        return False
    raise ValueError(text)


def _parse_list(text: str) -> tuple[str, ...]:
    items = (item.strip() for item in text.replace("\n", ",").split(","))
    return tuple(item for item in items if item)


def _parse_addresses(text: str) -> tuple[tuple[str, int], ...]:
    pairs = [item.rpartition(":") for item in _parse_list(text)]
    if not all(host and 0 < int(port) < 65536 for host, _, port in pairs):
        raise ValueError(text)
    return tuple((host, int(port)) for host, _, port in pairs)


PARSERS: Final[dict[Any, tuple[Callable[[str], Any], str]]] = {
    str: (str, "a string"),
    int: (int, "a whole number"),
    float: (float, "a number"),
    bool: (_parse_bool, "yes or no"),
    tuple[str, ...]: (_parse_list, "a list separated by commas"),
    tuple[tuple[str, int], ...]: (_parse_addresses, "a list of host:port pairs"),
}


def _format_bounds(spec: Field[Any]) -> str:
    low, high = spec.metadata["low"], spec.metadata["high"]
    if low is None and high is None:
        return ""
    return f" from {low} to {high}" if high is not None else f" of at least {low}"


def _in_bounds(spec: Field[Any], value: Any) -> bool:
    low, high = spec.metadata["low"], spec.metadata["high"]
    if low is not None and not value >= low:
        return False
    return high is None or bool(value <= high)


def _parse_value(hint: Any, spec: Field[Any], text: str) -> Result[Any, str]:
    parser_key = hint if hint in PARSERS else getattr(hint, "__supertype__", str)
    parser, type_name = PARSERS[parser_key]
    expected = f"expected {type_name}{_format_bounds(spec)}, found {text!r}"
    try:
        value = parser(text)
    except ValueError:
        return Err(expected)
    return Success(value) if _in_bounds(spec, value) else Err(expected)


def _unknown(
    cls: type, ini: configparser.ConfigParser, file: str
) -> Iterator[SettingsIssue]:
    known = {(f.metadata["section"], f.metadata["key"]) for f in fields(cls)}
    sections = {section for section, _ in known}
    for section in ini.sections():
        if section not in sections:
            yield SettingsIssue(
                file, section, "-", f"unknown section; known: {sections}"
            )
            continue
        for key in ini[section]:
            if (section, key) not in known:
                yield SettingsIssue(file, section, key, "unknown key")


def load(cls: type[T], path: Path) -> Result[T, tuple[SettingsIssue, ...]]:
    """Load a settings file into the dataclass ``cls``.

    Returns
    -------
    Result
        The settings, or all errors in the file.
    """
    ini = configparser.ConfigParser(interpolation=None)
    file = str(path)
    try:
        ini.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        return Err((SettingsIssue(file, "-", "-", " ".join(str(exc).split())),))
    issues = list(_unknown(cls, ini, file))
    values: dict[str, Any] = {}
    hints = get_type_hints(cls)
    for spec in fields(cls):  # type: ignore[arg-type]
        section, key = spec.metadata["section"], spec.metadata["key"]
        text = ini.get(section, key, fallback=None)
        if text is None:
            if spec.default is MISSING:
                issues.append(
                    SettingsIssue(file, section, key, "missing, must be given")
                )
            continue
        match _parse_value(hints[spec.name], spec, text.strip()):
            case Success(value):
                values[spec.name] = value
            case Err(expected):
                issues.append(SettingsIssue(file, section, key, expected))
    return Err(tuple(issues)) if issues else Success(cls(**values))


def load_or_exit(cls: type[T], path: Path) -> T:
    """Return the settings, or print all errors and exit with status 2."""
    result = load(cls, path)
    if isinstance(result, Success):
        settings: T = result.unwrap()
        return settings
    for issue in result.failure():
        print(issue, file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def table(cls: type) -> str:
    """Return a Markdown table of all settings of ``cls`` for operators."""
    rows = ["| section | key | default | meaning |", "| --- | --- | --- | --- |"]
    for spec in fields(cls):
        meta = spec.metadata
        default = "must be given" if spec.default is MISSING else f"`{spec.default}`"
        help_text = f"{meta['help']}{_format_bounds(spec)}"
        rows.append(f"| {meta['section']} | {meta['key']} | {default} | {help_text} |")
    return "\n".join(rows)
