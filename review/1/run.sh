#!/bin/sh
# A client's request carries a further request behind a transfer coding that is not chunked.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/Smuggled.class ] && [ -f target/entry/samphiregauge-entry.jar ] || exit 2
exec java -Xmx512m -cp target/review Smuggled review/1/record.txt
