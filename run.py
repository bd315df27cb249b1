"""What the platform starts: `run.py --config FILE` is `ploverhall serve --config FILE`."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent

sys.path.insert(0, str(HERE / "target" / "deps"))
# compiled by the build (deploy/service.toml): a controller that is started anew doesn't compile 70 modules first, which takes more
# than twice as long as all the rest of its start; Python itself checks that what lies there fits the source
sys.pycache_prefix = str(HERE / "target" / "pycache")

from ploverhall.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
