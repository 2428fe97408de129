#!/usr/bin/env bash
# Runs the case: a back end starts again under its ID while the store is down.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
if [ ! -x target/jujubehaven ] || [ ! -x target/review-standin-2 ]; then
	echo "build the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-standin-2 -case reborn -record review/9/record.txt -trouble="$trouble"
