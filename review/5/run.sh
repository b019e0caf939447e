#!/bin/sh
# A controller crashes that has the claims of jobs which name many machine types.
# TROUBLE=0 leaves out the disruption; the play reads it from the environment (lib-2/review2/Case.java).
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec "$(dirname "$0")/../lib-2/run.sh" "$(dirname "$0")" TakeoverOfLargeJobs
