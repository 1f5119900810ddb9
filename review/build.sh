#!/usr/bin/env bash
# Builds the daemon and the stand-ins of the cases. Needs no network beyond the module cache.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/gooseberrylaned
go build -o target/review-stand ./review/2/_stand
