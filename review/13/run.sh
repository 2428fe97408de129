#!/bin/sh
# Plays the case late of review/standin-3; claim.txt says what it shows.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jujubehaven ] && [ -x target/review/standin-3 ] || exit 2
exec target/review/standin-3 late review/13/record.txt
