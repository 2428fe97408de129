#!/bin/sh
# Builds the stand-in that all scripts start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/standin
