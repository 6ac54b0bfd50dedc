#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standin-3/*.java
