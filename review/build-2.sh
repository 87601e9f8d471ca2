#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/[6-9] review/10; do
  if ls "$dir"/*.go >/dev/null 2>&1; then
    go build -tags review -o "target/review/case-$(basename "$dir")" "./$dir"
  fi
done
