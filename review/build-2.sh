#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 and up. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/_rig
