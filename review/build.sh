#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file; needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp target/stileferry.jar review/src/review/*.java
