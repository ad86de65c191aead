#!/usr/bin/env bash
# Checks every model and every mutant with spin; installs spin where it is missing.
set -eu
cd "$(dirname "$0")"
if ! command -v spin >/dev/null 2>&1; then
  apt-get update >/dev/null && apt-get install -y spin >/dev/null
fi
