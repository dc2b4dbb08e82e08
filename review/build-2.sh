#!/bin/sh
# Builds the stand-ins that the cases of this review start; run it from the root after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
