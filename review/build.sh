#!/bin/bash
# Builds the stand-ins of the cases into target/review/. The deploy file builds the programs under test.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review/standin ./review/_standin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review/rig ./review/_rig
