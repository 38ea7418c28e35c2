#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/slipturn-instance target/review-2/stand-ins; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review-2/stand-ins late-part review/6/record.txt
