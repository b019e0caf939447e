#!/bin/sh
# A report of a machine's former boot arrives at a new holder after the boot that followed.
exec "$(dirname "$0")/../lib-2/run.sh" "$(dirname "$0")" HeldBackReport
