#!/bin/sh
# Compiles the stand-ins of the review into review/classes; needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir -p classes
javac -Xlint:-options --release 17 -d classes standin/*.java
