#!/usr/bin/env bash
# Text in the body of a request runs as a request of its own. See claim.txt; TROUBLE=0 leaves the second
# framing out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentianwell ] && [ -x target/review/stand ] || { echo "not built: see review/build.sh" >&2; exit 2; }
exec target/review/stand smuggled review/3
