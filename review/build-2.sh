#!/bin/sh
# Builds the program that the scripted cases 4 to 8 run: callers, runners and the store. The router is built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
