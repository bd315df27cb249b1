"""python -m ploverhall"""

import sys

from ploverhall.cli import main

sys.exit(main())
