#!/bin/sh
# A controller crashes that has the claims of jobs which name many machine types.
exec "$(dirname "$0")/../lib-2/run.sh" "$(dirname "$0")" TakeoverOfLargeJobs
