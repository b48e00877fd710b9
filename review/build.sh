#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They need no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/stand"
go build -buildvcs=false -o ../../target/review-stand .
