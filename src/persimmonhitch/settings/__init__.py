"""Typed and validated settings from INI files."""

from .load import SettingsIssue, load, load_or_exit, setting, table

__all__ = ["SettingsIssue", "load", "load_or_exit", "setting", "table"]
