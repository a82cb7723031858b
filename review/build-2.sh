#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOWORK=off go build -o ../../target/review/stand-2 .
