"""Run the command line: the entry point of `python -m ploverhall`."""

import sys

from ploverhall.cli import main

sys.exit(main())
