#!/bin/sh
# Builds all stand-ins of the cases, the project's own included, into target/review.
# Needs the build of the deploy file (target/dunefront.jar). Uses no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp target/dunefront.jar \
  src/main/java/dev/dunefront/standin/*.java review/lib/*.java review/[0-9]*/*.java
