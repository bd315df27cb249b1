#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on: Python modules, compiled to target/pycache. The build
# command of deploy/service.toml has to run before.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -X pycache_prefix=target/pycache -m compileall -q review tests/simulation
