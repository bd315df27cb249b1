"""Write the golden files: `python -m tests.golden.make`; `--check` only lists those that differ."""

from __future__ import annotations

import json
import sys
from functools import cache
from pathlib import Path
from typing import Any

from . import cases, inputs, scene
from .traffic import Recording, written_kinds

GOLDEN_FOLDER = Path(__file__).parent


@cache
def _ordinary_operation() -> tuple[Any, Recording]:
    return scene.ordinary_operation()


@cache
def _refusals() -> tuple[dict[str, Any], dict[str, Any]]:
    return scene.refusals()


def interfaces() -> dict[str, Any]:
    """Return the golden data of the published interfaces."""
    published, _ = _ordinary_operation()[1].interfaces()
    return {
        "messages": published.golden(),
        "refused": _refusals()[0],
        "heartbeats": cases.heartbeats(),
        "commands": cases.commands(),
        "cloud": cases.cloud_answers(),
        "store": cases.store_answers(),
    }


def link() -> dict[str, Any]:
    """Return the golden data of the link between controllers."""
    return {
        "messages": _ordinary_operation()[1].link().golden(),
        "greetings": _refusals()[1],
        "cancellation gossip": cases.cancellation_gossip(),
        "relayed": cases.relay_cases(),
        "channel values": cases.channel_values(),
        "channel messages": cases.channel_messages(),
        "link reports": cases.link_reports(),
        "shards": cases.shard_map(),
    }


def store() -> dict[str, Any]:
    """Return the golden data of the keys and values in the state service."""
    return {
        "written": written_kinds(_ordinary_operation()[0].state.store.log).golden(),
        "forms": cases.stored_forms(),
        "read": {"given": inputs.STORED, **scene.from_stored()},
    }


def operators() -> dict[str, Any]:
    """Return the golden data of settings, options, status, health and the command line."""
    _, operator_messages = _ordinary_operation()[1].interfaces()
    return {
        "messages": operator_messages.golden(),
        "settings": cases.platform_settings(),
        "options": cases.operator_options(),
        "command line": cases.command_line(),
    }


FILES = {"interfaces": interfaces, "link": link, "store": store, "operators": operators}


def path(name: str) -> Path:
    """Return the path of a golden file."""
    return GOLDEN_FOLDER / f"{name}.json"


def text(name: str) -> str:
    """Return the content of a golden file as this release writes it."""
    return (
        json.dumps(cases.plain(FILES[name]()), indent=1, ensure_ascii=True, sort_keys=False) + "\n"
    )


def main(argv: list[str]) -> int:
    """Write or compare all files; with `--check`, return 1 if any file differs."""
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
