#!/usr/bin/env bash
# Builds the stand-ins in review/standins: compiles them, so that no script does it later.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
