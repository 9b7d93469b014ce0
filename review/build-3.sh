#!/usr/bin/env bash
# Builds the stand-ins of review/found into target/review/.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/stand3 ./stand3
