#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
