#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The router is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.go; do
  name=$(basename "$(dirname "$main")")
  go build -o "target/review/case-$name" "./review/$name"
done
