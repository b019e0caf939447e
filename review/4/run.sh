#!/bin/sh
# A report of a machine's former boot arrives at a new holder after the boot that followed.
# TROUBLE=0 leaves out the disruption; the play reads it from the environment (lib-2/review2/Case.java).
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec "$(dirname "$0")/../lib-2/run.sh" "$(dirname "$0")" HeldBackReport
