#!/usr/bin/env bash
# Builds the stand-ins of the third review: each review/1[1-5]/scenario.cpp.
# Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/scenario.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-3/scenario-$number"
done
