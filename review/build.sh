#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -buildvcs=false -o ../target/review/stand ./stand
