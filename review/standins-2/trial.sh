#!/usr/bin/env bash
# Runs a trial of the second review that is no case: late_roster, mixed_shutdown or taken_away. Its record is written
# into the current folder. Exit codes as those of the cases; TROUBLE=0: without the disruption.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
REVIEW_CASE=$PWD REVIEW_ROOT=$(cd "$here/../.." && pwd) exec "$here/target/release/trial_$1"
