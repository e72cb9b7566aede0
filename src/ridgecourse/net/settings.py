"""Reads settings files, written in JSON with comments, and checks them as a whole.

All problems of a file are reported together. Each problem names the file, the line, the
key and the expected value.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, TypeVar

from json5.loader import DefaultLoader, ModelLoader, loads
from json5.utils import JSON5DecodeError
from pydantic import AfterValidator, BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from ridgecourse.core.problem import Problem, Problems
from ridgecourse.net.address import parse_address

SettingsT = TypeVar("SettingsT", bound="Settings")
KeyPath = tuple[str | int, ...]


def _check_address(text: str) -> str:
    parse_address(text)
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
"""Type of a settings value that contains an address, HOST:PORT."""


class Settings(BaseModel):
    """Base class of all settings: unknown keys are errors, values are not coerced."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def load_settings(
    path: Path, settings_type: type[SettingsT]
) -> Result[SettingsT, Problems]:
    """Read and check a settings file.

    Args:
        path: The file.
        settings_type: The settings class that the file must match.

    Returns:
        The settings, or all problems of the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Problem(str(path), f"cannot be read: {error}"),))
    return parse_settings(text, str(path), settings_type)


def parse_settings(
    text: str, name: str, settings_type: type[SettingsT]
) -> Result[SettingsT, Problems]:
    """Parse and check the text of a settings file; see ``load_settings``.

    Args:
        text: The text.
        name: Name of the file, for problems.
        settings_type: The settings class that the text must match.
    """
    try:
        model = loads(text, loader=ModelLoader())
        values = loads(text, loader=DefaultLoader())
    except JSON5DecodeError as error:
        return Failure((Problem(name, f"is no JSON with comments: {error}"),))
    lines = dict(key_lines(model.value, ()))
    try:
        return Success(settings_type.model_validate(values))
    except ValidationError as error:
        return Failure(tuple(describe_problems(error, name, lines)))


def key_lines(node: Any, path: KeyPath) -> Iterator[tuple[KeyPath, int]]:
    """Yield the path and line number of each key and array element of a parsed file."""
    if hasattr(node, "keys") and hasattr(node, "values"):
        for key, value in zip(node.keys, node.values, strict=True):
            key_path = (*path, getattr(key, "characters", getattr(key, "name", "")))
            yield key_path, key._tok.lineno
            yield from key_lines(value, key_path)
    elif isinstance(getattr(node, "values", None), list):
        for index, value in enumerate(node.values):
            yield (*path, index), value._tok.lineno
            yield from key_lines(value, (*path, index))


def describe_problems(
    error: ValidationError, name: str, lines: dict[KeyPath, int]
) -> Iterator[Problem]:
    """Yield a problem for each validation error, with its line and key."""
    for error_details in error.errors():
        path: KeyPath = error_details["loc"]
        line = nearest_line(path, lines)
        key = ".".join(map(str, path)) or "(file)"
        message = error_details["msg"]
        if error_details["type"] == "extra_forbidden":
            message = "unknown key"
        elif error_details["type"] != "missing":
            message = f"{message}, found {error_details['input']!r}"
        yield Problem(f"{name}:{line}: {key}", message)


def nearest_line(path: KeyPath, lines: dict[KeyPath, int]) -> int:
    """Return the line number of a key or of its nearest enclosing key; 1 for none."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return 1
