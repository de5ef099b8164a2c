"""Typed and validated settings from INI files."""

from .load import SettingsIssue, load, load_or_exit, setting, table
from .retries import RetrySettings

__all__ = [
    "RetrySettings",
    "SettingsIssue",
    "load",
    "load_or_exit",
    "setting",
    "table",
]
