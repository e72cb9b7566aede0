"""Settings files: JSON with comments, checked as a whole.

Every finding names file, line and key and says what was expected; all are
reported together.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, TypeVar

from json5.loader import DefaultLoader, ModelLoader, loads
from json5.utils import JSON5DecodeError
from pydantic import AfterValidator, BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from ridgecourse.core.finding import Finding, Findings
from ridgecourse.net.address import parse_address

SettingsT = TypeVar("SettingsT", bound="Settings")
KeyPath = tuple[str | int, ...]


def _check_address(text: str) -> str:
    parse_address(text)
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
"""Type of a settings value that is an address."""


class Settings(BaseModel):
    """Base of all settings: unknown keys are errors, values are not coerced."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def load_settings(path: Path, kind: type[SettingsT]) -> Result[SettingsT, Findings]:
    """Read and check a settings file.

    Args:
        path: The file.
        kind: The settings class it must fit.

    Returns:
        The settings, or everything that is wrong with the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), f"cannot be read: {error}"),))
    return parse_settings(text, str(path), kind)


def parse_settings(
    text: str, name: str, kind: type[SettingsT]
) -> Result[SettingsT, Findings]:
    """Check the text of a settings file; see ``load_settings``."""
    try:
        model = loads(text, loader=ModelLoader())
        raw = loads(text, loader=DefaultLoader())
    except JSON5DecodeError as error:
        return Failure((Finding(name, f"is no JSON with comments: {error}"),))
    lines = dict(key_lines(model.value, ()))
    try:
        return Success(kind.model_validate(raw))
    except ValidationError as error:
        return Failure(tuple(describe_faults(error, name, lines)))


def key_lines(node: Any, path: KeyPath) -> Iterator[tuple[KeyPath, int]]:
    """Yield the line of every key and array element of a parsed file."""
    if hasattr(node, "keys") and hasattr(node, "values"):
        for key, value in zip(node.keys, node.values, strict=True):
            key_path = (*path, getattr(key, "characters", getattr(key, "name", "")))
            yield key_path, key._tok.lineno
            yield from key_lines(value, key_path)
    elif isinstance(getattr(node, "values", None), list):
        for index, value in enumerate(node.values):
            yield (*path, index), value._tok.lineno
            yield from key_lines(value, (*path, index))


def describe_faults(
    error: ValidationError, name: str, lines: dict[KeyPath, int]
) -> Iterator[Finding]:
    """Yield a finding for each fault, with its line and key."""
    for fault in error.errors():
        path: KeyPath = fault["loc"]
        line = nearest_line(path, lines)
        key = ".".join(map(str, path)) or "(file)"
        message = fault["msg"]
        if fault["type"] == "extra_forbidden":
            message = "unknown key"
        elif fault["type"] != "missing":
            message = f"{message}, found {fault['input']!r}"
        yield Finding(f"{name}:{line}: {key}", message)


def nearest_line(path: KeyPath, lines: dict[KeyPath, int]) -> int:
    """Return the line of a key, or of what encloses it."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return 1
