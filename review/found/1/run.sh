#!/usr/bin/env bash
# Exits with 1 if more than two clients got events of two versions in one stream, 0 if not, 2 if it couldn't run.
# TROUBLE=0 stops no VM; the release stays. SEED seeds the random choices.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/gentianwell ] && [ -x target/review/stand3 ] || { echo "build the deploy file and review/build-3.sh first" >&2; exit 2; }
exec target/review/stand3 --scenario versions --program target/gentianwell --record review/found/1/record.txt --seed "${SEED:-1}"
