#!/usr/bin/env bash
# Plays this case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/slipcrankd ] && [ -x target/review/stand-2 ] || { echo "not built" >&2; exit 2; }
exec target/review/stand-2 config . review/6
