"""The shape of a JSON-like value: a line for each path, with the type or literal word there."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from typing import Any

MAX_BYTES = 4000  # of one message kept whole; of a larger one the digest
_DIGITS = re.compile(r"[0-9]+")
_WORD = re.compile(r"[a-z][a-z_]{0,30}\Z")


def pattern(text: str) -> str:
    """A name or path without its numbers: `j-000412/3` -> `j-#/#`."""
    return _DIGITS.sub("#", text)


def exact(data: bytes) -> str:
    """Bytes as JSON can hold them: text, hexadecimal digits, or the digest of what is too large."""
    if len(data) > MAX_BYTES:
        return f"sha256:{hashlib.sha256(data).hexdigest()}:{len(data)}"
    try:
        return data.decode("ascii")
    except UnicodeDecodeError:
        return f"hex:{data.hex()}"


def lines(
    value: Any, path: str, out: set[str], *, words: bool, opaque: frozenset[str] = frozenset()
) -> None:
    """Add a value's lines. `words`: keep short lower-case strings; `opaque`: keys not entered."""
    if isinstance(value, dict):
        if not value:
            out.add(f"{path}: {{}}")
        for key, inner in value.items():
            name = pattern(str(key)) if " " not in str(key) else "(text)"
            kind = "" if isinstance(key, str) else f"<{type(key).__name__}>"
            if key in opaque:
                out.add(f"{path}.{name}: (stored value)")
            else:
                lines(inner, f"{path}.{name}{kind}", out, words=words, opaque=opaque)
    elif isinstance(value, (list, tuple)):
        if not value:
            out.add(f"{path}: []")
        same = {type(v) for v in value} in ({str}, {dict}, {list})
        for index, inner in enumerate(value):
            lines(
                inner, f"{path}[]" if same else f"{path}[{index}]", out, words=words, opaque=opaque
            )
    elif isinstance(value, str) and words and _WORD.match(value):
        out.add(f"{path}: {value!r}")
    else:
        out.add(f"{path}: {type(value).__name__}")


@dataclass
class Kind:
    """All messages of one kind: their merged shape, and the first of them byte for byte."""

    shape: set[str] = field(default_factory=set)
    first: str | None = None
    count: int = 0

    def golden(self) -> dict[str, Any]:
        """The form kept in a golden file."""
        return {
            "shape": sorted(self.shape),
            **({"first": self.first} if self.first is not None else {}),
        }


class Kinds(dict[str, Kind]):
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
        """Take in one message; without `data` only its shape is kept."""
        kind = self.setdefault(name, Kind())
        kind.count += 1
        if kind.first is None and data is not None:
            kind.first = exact(data)
        lines(value, "", kind.shape, words=words, opaque=opaque)

    def golden(self) -> dict[str, Any]:
        """The form kept in a golden file."""
        return {name: kind.golden() for name, kind in sorted(self.items())}
