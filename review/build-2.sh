#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "build/review-2/$(basename "$source" .cc)"
done
