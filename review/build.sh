#!/bin/sh
# Builds the stand-ins and drivers of the cases into review/bin. The router itself is built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o review/bin/ ./review/cases/...
