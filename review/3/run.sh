#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption;
# SEED (default 1) selects the random numbers.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
run_case "$here" case_stale
exit $?
