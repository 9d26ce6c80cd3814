"""Tests of error codes."""

from __future__ import annotations

import pathlib

from guavalane_core import exceptions

ERRORS_PAGE = pathlib.Path(__file__).parents[3] / "docs/user-guide/errors.md"


def subclasses(cls: type) -> set[type]:
    """Returns all subclasses of a class that the core package defines."""
    found = set()
    for sub in cls.__subclasses__():
        if sub.__module__ == exceptions.__name__:
            found |= {sub} | subclasses(sub)
    return found


class TestErrorCodes:
    """Guards against error codes that are ambiguous or undocumented."""

    def test_codes_are_unique(self):
        codes = [cls.code for cls in subclasses(exceptions.GuavalaneError)]
        assert len(codes) == len(set(codes)) > 20

    def test_every_code_is_documented(self):
        page = ERRORS_PAGE.read_text(encoding="utf-8")
        missing = [
            cls.code
            for cls in subclasses(exceptions.GuavalaneError)
            if f"| `{cls.code}` |" not in page
        ]
        assert missing == []
