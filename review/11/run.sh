#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
BED=target/review-3/bed
[ -x "$BED" ] || exit 2
timeout --kill-after=2 110 "$BED" case many-steps "review/11"
STATUS=$?
[ "$STATUS" -le 2 ] || STATUS=2
exit "$STATUS"
