"""Entry point of `python -m ploverhall`: runs the command line."""

import sys

from ploverhall.cli import main

sys.exit(main())
