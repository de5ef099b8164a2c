"""Typed and validated settings from INI files."""

from .load import Mistake, load, load_or_exit, setting, table

__all__ = ["Mistake", "load", "load_or_exit", "setting", "table"]
