#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the case without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/case-3 && -x target/programs/zinniaraild ]] || exit 2
timeout -s KILL 118 target/review/case-3 review/3/record.txt "${TROUBLE:-1}"
code=$?
((code <= 1)) && exit "$code"
exit 2
