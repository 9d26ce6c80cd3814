"""Validation of plain data against classes generated from the schema.

Each generated class lists an option per field in `OPTIONS`. `build` converts
plain data to an instance; if the data are invalid, it raises one exception
with all errors.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from guavalane_core.exceptions import ConfigurationError

T = TypeVar("T")
REDACTED = "<redacted>"
Converter = Callable[[Any], Any]


class MismatchError(Exception):
    """A value does not match its option."""


class Option:
    """Base class of options.

    Args:
      required: Whether the key must be present.
      secret: Whether the value is redacted in dumps and error messages.
    """

    expected = "a value"

    def __init__(self, *, required: bool = True, secret: bool = False) -> None:
        self.required = required
        self.secret = secret

    @property
    def plain_type(self) -> type | None:
        """Type of which all values match, negative numbers excepted.

        None if other values match as well, or if not all of them match.
        """
        return None

    @property
    def accepts_negative(self) -> bool:
        """Whether negative numbers of the plain type match."""
        return True

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns the typed value; appends a message for each error."""
        raise NotImplementedError

    def converter(self) -> Converter:
        """Returns a function that converts one value without error details.

        The function raises `MismatchError` for a value that `validate` rejects.
        Messages are decoded with it, because most are valid and it is faster
        than `validate`.
        """

        def convert(value: Any) -> Any:
            errors: list[str] = []
            typed = self.validate(value, "", errors)
            if errors:
                raise MismatchError
            return typed

        return convert

    def _reject(self, value: Any, path: str, errors: list[str]) -> None:
        shown = REDACTED if self.secret else repr(value)[:80]
        errors.append(f"{path}: expected {self.expected}, got {shown}")


class Anything(Option):
    """Accepts any value."""

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns the value unchanged."""
        return value


class Text(Option):
    """Accepts a string.

    Args:
      min_length: Minimum number of characters.
      pattern: Regular expression that the text must match.
      **kwargs: Arguments of `Option`.
    """

    def __init__(
        self, *, min_length: int = 0, pattern: str = "", **kwargs: bool
    ) -> None:
        super().__init__(**kwargs)
        self._min_length = min_length
        self._pattern = pattern
        self.expected = "text"
        if min_length:
            self.expected += f" of at least {min_length} characters"
        if pattern:
            self.expected += f" that matches {pattern}"

    @property
    def plain_type(self) -> type | None:
        """Type of which all values match."""
        return None if self._min_length or self._pattern else str

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns the string."""
        if (
            not isinstance(value, str)
            or len(value) < self._min_length
            or (self._pattern and not re.search(self._pattern, value))
        ):
            self._reject(value, path, errors)
        return value

    def converter(self) -> Converter:
        """Returns a function that converts one value without error details."""
        if self._min_length or self._pattern:
            return super().converter()

        def convert(value: Any) -> Any:
            if type(value) is not str:
                raise MismatchError
            return value

        return convert


class Bytes(Option):
    """Accepts bytes."""

    expected = "bytes"

    @property
    def plain_type(self) -> type | None:
        """Type of which all values match."""
        return bytes

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns the bytes."""
        if not isinstance(value, bytes):
            self._reject(value, path, errors)
        return value


class Boolean(Option):
    """Accepts true or false."""

    expected = "true or false"

    @property
    def plain_type(self) -> type | None:
        """Type of which all values match."""
        return bool

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns the boolean."""
        if not isinstance(value, bool):
            self._reject(value, path, errors)
        return value


class Number(Option):
    """Accepts a number.

    Args:
      minimum: Smallest allowed value.
      maximum: Largest allowed value.
      **kwargs: Arguments of `Option`.
    """

    noun = "a number"
    types: tuple[type, ...] = (int, float)

    def __init__(
        self,
        *,
        minimum: float | None = None,
        maximum: float | None = None,
        **kwargs: bool,
    ) -> None:
        super().__init__(**kwargs)
        self._minimum = minimum
        self._maximum = maximum
        self.expected = self.noun
        if minimum is not None:
            self.expected += f" of at least {minimum}"
        if maximum is not None:
            joiner = " and" if minimum is not None else " of"
            self.expected += f"{joiner} at most {maximum}"

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns the number."""
        is_number = isinstance(value, self.types) and not isinstance(
            value, bool
        )
        # The negated comparisons also reject NaN, which json5 accepts.
        if (
            not is_number
            or (self._minimum is not None and not value >= self._minimum)
            or (self._maximum is not None and not value <= self._maximum)
        ):
            self._reject(value, path, errors)
        return value


class Integer(Number):
    """Accepts an integer."""

    noun = "an integer"
    types = (int,)

    @property
    def plain_type(self) -> type | None:
        """Type of which all values match, negative numbers excepted."""
        is_plain = self._minimum in (None, 0) and self._maximum is None
        return int if is_plain else None

    @property
    def accepts_negative(self) -> bool:
        """Whether negative numbers match."""
        return self._minimum is None

    def converter(self) -> Converter:
        """Returns a function that converts one value without error details."""
        if self._minimum != 0 or self._maximum is not None:
            return super().converter()

        def convert(value: Any) -> Any:
            if type(value) is not int or value < 0:
                raise MismatchError
            return value

        return convert


class Choice(Option):
    """Accepts one of several strings.

    Args:
      choices: Allowed strings.
      **kwargs: Arguments of `Option`.
    """

    def __init__(self, choices: tuple[str, ...], **kwargs: bool) -> None:
        super().__init__(**kwargs)
        self._choices = choices
        self.expected = "one of " + ", ".join(choices)

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns the string."""
        if value not in self._choices:
            self._reject(value, path, errors)
        return value


class ListOf(Option):
    """Accepts a list of items of the same type.

    Args:
      item: Option of the items.
      **kwargs: Arguments of `Option`.
    """

    expected = "a list"

    def __init__(self, item: Option, **kwargs: bool) -> None:
        super().__init__(**kwargs)
        self.item = item

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns a tuple of typed items."""
        if not isinstance(value, list | tuple):
            self._reject(value, path, errors)
            return ()
        return tuple(
            self.item.validate(item, f"{path}[{i}]", errors)
            for i, item in enumerate(value)
        )


class MapOf(Option):
    """Accepts a map from names to values of the same type.

    Args:
      item: Option of the values.
      **kwargs: Arguments of `Option`.
    """

    expected = "a map"

    def __init__(self, item: Option, **kwargs: bool) -> None:
        super().__init__(**kwargs)
        self.item = item

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns a map of typed values."""
        if not isinstance(value, Mapping):
            self._reject(value, path, errors)
            return {}
        return {
            str(key): self.item.validate(item, f"{path}.{key}", errors)
            for key, item in value.items()
        }


class Section(Option):
    """Accepts a map that is converted to a generated class.

    Args:
      cls: Generated class of the section.
      **kwargs: Arguments of `Option`.
    """

    expected = "a map"

    def __init__(self, cls: type, **kwargs: bool) -> None:
        super().__init__(**kwargs)
        self.cls = cls

    def validate(self, value: Any, path: str, errors: list[str]) -> Any:
        """Returns an instance of the class, or None if the map is invalid."""
        if value is None and not self.required:
            return None
        if not isinstance(value, Mapping):
            self._reject(value, path, errors)
            return None
        return _build_section(self.cls, value, path, errors)


def _build_section(
    cls: type[T], data: Mapping, path: str, errors: list[str]
) -> T | None:
    known = cls.OPTIONS
    prefix = f"{path}." if path else ""
    before = len(errors)
    for key in data:
        if key not in known:
            allowed = ", ".join(known)
            errors.append(f"{prefix}{key}: unknown key; allowed: {allowed}")
    values = {}
    for key, option in known.items():
        if key in data:
            values[key] = option.validate(data[key], f"{prefix}{key}", errors)
        elif option.required:
            errors.append(f"{prefix}{key}: missing; {option.expected}")
    return cls(**values) if len(errors) == before else None


def build(cls: type[T], data: Any) -> T:
    """Converts plain data to an instance of a generated class.

    Args:
      cls: Generated class.
      data: Map of keys to values.

    Raises:
      ConfigurationError: The data are invalid; all errors are reported.
    """
    errors: list[str] = []
    if not isinstance(data, Mapping):
        raise ConfigurationError([f"expected a map, got {type(data).__name__}"])
    result = _build_section(cls, data, "", errors)
    if result is None:
        raise ConfigurationError(errors)
    return result


def to_plain(value: Any, *, redact: bool = False) -> Any:
    """Converts an instance of a generated class to plain data.

    Args:
      value: Instance, or a collection of instances.
      redact: Whether secret values are redacted.
    """
    if attrs.has(type(value)):
        plain = {}
        for key, option in type(value).OPTIONS.items():
            item = getattr(value, key)
            if item is None:
                continue
            hide = redact and option.secret
            plain[key] = REDACTED if hide else to_plain(item, redact=redact)
        return plain
    if isinstance(value, Mapping):
        return {k: to_plain(v, redact=redact) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(item, redact=redact) for item in value]
    return value
