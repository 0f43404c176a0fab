#!/bin/bash
# Builds what the scripts of the second review start, after the build of the deploy file: the test bed, and with it the
# project's own stand-ins, which are part of the jar. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/stileferry.jar ]; then
    mvn -q -B -o -DskipTests package
fi
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -nowarn -cp target/stileferry.jar -d target/review-2 review/src-2/*.java
