"""Describe the shape of a JSON-like value: a line for each path, with the type or literal word."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from typing import Any

MAX_BYTES = 4000  # larger messages are kept as a digest
_DIGITS = re.compile(r"[0-9]+")
_WORD = re.compile(r"[a-z][a-z_]{0,30}\Z")


def pattern(text: str) -> str:
    """Return a name or path with its numbers replaced: `j-000412/3` -> `j-#/#`."""
    return _DIGITS.sub("#", text)


def to_json_text(data: bytes) -> str:
    """Return bytes as text for JSON: ASCII, hex digits, or a digest if they are too large."""
    if len(data) > MAX_BYTES:
        return f"sha256:{hashlib.sha256(data).hexdigest()}:{len(data)}"
    try:
        return data.decode("ascii")
    except UnicodeDecodeError:
        return f"hex:{data.hex()}"


def add_shape_lines(
    value: Any, path: str, out: set[str], *, words: bool, opaque: frozenset[str] = frozenset()
) -> None:
    """Add the lines of a value's shape to `out`.

    Args:
        value: The value to describe.
        path: The path of the value, with which its lines start.
        out: The set that the lines are added to.
        words: Whether short lower-case strings are kept literally.
        opaque: Keys whose values are not described.
    """
    if isinstance(value, dict):
        if not value:
            out.add(f"{path}: {{}}")
        for key, inner in value.items():
            name = pattern(str(key)) if " " not in str(key) else "(text)"
            kind = "" if isinstance(key, str) else f"<{type(key).__name__}>"
            if key in opaque:
                out.add(f"{path}.{name}: (stored value)")
            else:
                add_shape_lines(inner, f"{path}.{name}{kind}", out, words=words, opaque=opaque)
    elif isinstance(value, (list, tuple)):
        if not value:
            out.add(f"{path}: []")
        uniform = {type(v) for v in value} in ({str}, {dict}, {list})
        for index, inner in enumerate(value):
            add_shape_lines(
                inner,
                f"{path}[]" if uniform else f"{path}[{index}]",
                out,
                words=words,
                opaque=opaque,
            )
    elif isinstance(value, str) and words and _WORD.match(value):
        out.add(f"{path}: {value!r}")
    else:
        out.add(f"{path}: {type(value).__name__}")


@dataclass
class MessageKind:
    """All messages of one kind: their merged shape, and the bytes of the first one."""

    shape: set[str] = field(default_factory=set)
    first: str | None = None
    count: int = 0

    def golden(self) -> dict[str, Any]:
        """Return the form that is kept in a golden file."""
        return {
            "shape": sorted(self.shape),
            **({"first": self.first} if self.first is not None else {}),
        }


class MessageKinds(dict[str, MessageKind]):
    """Kinds of messages by name."""

    def add(
        self,
        name: str,
        value: Any,
        data: bytes | None,
        *,
        words: bool = True,
        opaque: frozenset[str] = frozenset(),
    ) -> None:
        """Add one message; without `data` only its shape is kept."""
        kind = self.setdefault(name, MessageKind())
        kind.count += 1
        if kind.first is None and data is not None:
            kind.first = to_json_text(data)
        add_shape_lines(value, "", kind.shape, words=words, opaque=opaque)

    def golden(self) -> dict[str, Any]:
        """Return the form that is kept in a golden file."""
        return {name: kind.golden() for name, kind in sorted(self.items())}
