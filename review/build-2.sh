#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the router: harness2, which holds the stand-ins of the store, the
# replicas and the callers.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/harness2 ./review/harness2
