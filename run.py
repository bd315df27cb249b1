"""The entry point that the platform starts.

`run.py --config FILE` does the same as `ploverhall serve --config FILE`.
"""

import sys
from contextlib import suppress
from importlib import import_module
from pathlib import Path

ROOT = Path(__file__).resolve().parent

sys.path.insert(0, str(ROOT / "target" / "deps"))
# The libraries, and the standard library modules that they import, have their bytecode beside the
# source. The build (deploy/service.toml) compiles ploverhall to target/pycache, where its other
# output belongs. So the prefix is set after the libraries are imported and before ploverhall is:
# when it was set earlier, every start compiled half of the standard library. Python itself checks
# that the bytecode matches the source.
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
    # uvloop does not exist for every platform; the import of ploverhall below reports any other
    # library that is missing
    with suppress(ImportError):
        import_module(library)
sys.pycache_prefix = str(ROOT / "target" / "pycache")

from ploverhall.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
