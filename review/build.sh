#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../../target/review/stand .
