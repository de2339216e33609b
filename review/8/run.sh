#!/usr/bin/env bash
# A client writes a request within 0.4 s; the router closes its connection in the middle, without an answer.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
. "$(dirname "$0")/../common-2.sh"
run_case case_evicted_writer
