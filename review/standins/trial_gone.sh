#!/usr/bin/env bash
# A trial that is not one of the three cases; trial_gone.txt says what it shows. Exit codes as for the cases.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
run_case "$here" trial_gone
exit $?
