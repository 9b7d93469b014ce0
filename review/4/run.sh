#!/usr/bin/env bash
# A leaving replica gets payments after drainMs because a store answer was lost half a minute before. See
# claim.txt; TROUBLE=0 leaves the lost answer out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentianwell ] && [ -x target/review/stand ] || { echo "not built: see review/build.sh" >&2; exit 2; }
exec target/review/stand watch review/4
