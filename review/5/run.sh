#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand ] && [ -x target/gooseberrylaned ] || exit 2
exec target/review-stand -scenario stale -daemon target/gooseberrylaned -record review/5/record.txt
