#!/bin/sh
# Builds the stand-ins and the plays of cases 4 to 8, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/dunefront.jar ]; then
  echo "target/dunefront.jar is missing: run the build of deploy/service.toml first" >&2
  exit 2
fi
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -nowarn -cp target/dunefront.jar -d target/review-2 review/lib-2/review2/*.java
