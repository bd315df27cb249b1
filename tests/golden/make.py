"""Writes the golden files: `python -m tests.golden.make`; `--check` says which of them differ."""

from __future__ import annotations

import json
import sys
from functools import cache
from pathlib import Path
from typing import Any

from . import cases, inputs, scene
from .traffic import Recording, stored

HOME = Path(__file__).parent


@cache
def _everyday() -> tuple[Any, Recording]:
    return scene.everyday()


@cache
def _refusals() -> tuple[dict[str, Any], dict[str, Any]]:
    return scene.refusals()


def interfaces() -> dict[str, Any]:
    """The published interfaces."""
    published, _ = _everyday()[1].interfaces()
    return {
        "messages": published.golden(),
        "refused": _refusals()[0],
        "heartbeats": cases.heartbeats(),
        "commands": cases.commands(),
        "cloud": cases.cloud_answers(),
        "store": cases.store_answers(),
    }


def link() -> dict[str, Any]:
    """The link between controllers."""
    return {
        "messages": _everyday()[1].link().golden(),
        "greetings": _refusals()[1],
        "cancellation gossip": cases.cancellation_gossip(),
        "relayed": cases.relay_cases(),
        "channel values": cases.channel_values(),
        "channel messages": cases.channel_messages(),
        "link reports": cases.link_reports(),
        "shards": cases.shard_map(),
    }


def store() -> dict[str, Any]:
    """Keys and values in the state service."""
    return {
        "written": stored(_everyday()[0].state.store.log).golden(),
        "forms": cases.stored_forms(),
        "read": {"given": inputs.STORED, **scene.from_stored()},
    }


def operators() -> dict[str, Any]:
    """Settings, options, status, health and the command line."""
    _, asked = _everyday()[1].interfaces()
    return {
        "messages": asked.golden(),
        "settings": cases.platform_settings(),
        "options": cases.operator_options(),
        "command line": cases.command_line(),
    }


FILES = {"interfaces": interfaces, "link": link, "store": store, "operators": operators}


def path(name: str) -> Path:
    """Where a golden file stands."""
    return HOME / f"{name}.json"


def text(name: str) -> str:
    """A golden file as this release writes it."""
    return (
        json.dumps(cases.plain(FILES[name]()), indent=1, ensure_ascii=True, sort_keys=False) + "\n"
    )


def main(argv: list[str]) -> int:
    """Write or compare all files."""
    differ = [
        name for name in FILES if not path(name).exists() or path(name).read_text() != text(name)
    ]
    if "--check" not in argv:
        for name in differ:
            path(name).write_text(text(name))
    print("changed:" if differ else "nothing changed", *differ)
    return 1 if differ and "--check" in argv else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
