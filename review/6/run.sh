#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: without the disruption. `timeout` ends all processes of the case together.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPYCACHEPREFIX="$PWD/target/pycache"
PYTHONPATH="$PWD:$PWD/target/deps" timeout --kill-after=5 117 python3 review/6/case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
