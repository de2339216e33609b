#!/usr/bin/env bash
# Bookings are refused as never run, and run all the same; the clients try again, and the bookings are applied twice.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
. "$(dirname "$0")/../common-2.sh"
run_case case_half_written
