#!/bin/sh
# Run from anywhere after the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review-3 RestoredStore review/14/record.txt
