#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review/standin new-route target/jujubehaven "$folder"
