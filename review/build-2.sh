#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. The programs of the project itself come from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/cases-2/platform/...
