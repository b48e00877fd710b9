#!/usr/bin/env bash
# Builds the stand-ins of the second review, which need only the standard library. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
go build -o ../../target/review-stand-2 .
