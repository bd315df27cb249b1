"""What the platform starts: `run.py --config FILE` is `ploverhall serve --config FILE`."""

import sys
from contextlib import suppress
from importlib import import_module
from pathlib import Path

ROOT = Path(__file__).resolve().parent

sys.path.insert(0, str(ROOT / "target" / "deps"))
# Libraries, and what they bring of Python's own, lie compiled beside themselves; ploverhall is compiled by the build
# (deploy/service.toml) to where everything it makes belongs. So the prefix is set between the two: set before, a start compiled
# half of the standard library. Python itself checks that what lies there fits the source.
for library in (
    "anyio._backends._asyncio",
    "uvloop",
    "cbor2",
    "httptools",
    "msgspec.json",
    "orjson",
    "argparse",
    "tomllib",
):
    with suppress(
        ImportError
    ):  # uvloop is not for every platform; what is missed for good is named below
        import_module(library)
sys.pycache_prefix = str(ROOT / "target" / "pycache")

from ploverhall.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
