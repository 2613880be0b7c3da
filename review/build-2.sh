#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
  g++ -std=c++17 -O2 -Wall -Wextra "$source" -o "target/review-2/$(basename "$source" .cc)"
done
