#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/gooseberrylaned ] || [ ! -x target/review-2/stand ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/stand -case late-withdraw -record review/10/record.txt
