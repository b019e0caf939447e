#!/bin/sh
# run.sh FOLDER PLAY: runs the play of a case, for 120 seconds at most.
# 1: the rule was broken, 0: it held, 2: the case could not run.
root="$(cd "$(dirname "$0")/../.." && pwd)" || exit 2
folder="$(cd "$1" && pwd)" || exit 2
cd "$root" || exit 2
if [ ! -f target/dunefront.jar ] || [ ! -d target/review-2 ]; then
  echo "not built: run the build of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
# TERM lets the play end the processes that it has started.
timeout -k 2 117 java -Xmx1g -Djava.util.logging.config.file=review/lib-2/logging.properties \
  -cp target/review-2:target/dunefront.jar "review2.$2" "${RECORD:-$folder/record.txt}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
