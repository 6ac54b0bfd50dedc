#!/bin/sh
# A request is sent 3.2 s after the SIGTERM of its entry, on an open connection.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/LateInStop.class ] && [ -f target/entry/samphiregauge-entry.jar ] || exit 2
exec java -Xmx512m -cp target/review LateInStop review/2/record.txt
