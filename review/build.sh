#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. The entry VM itself is built by the line
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -ldflags=-linkmode=external -o target/review/ ./review/platform/rig
