#!/usr/bin/env bash
# Builds the programs of the cases of the second review that have a script, with
# their stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-2
mkdir -p "$output"
for source in review/support/*.cpp; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -c "$source" \
    -o "$output/$(basename "$source" .cpp).o"
done
for driver in review/[0-9]*/driver.cpp; do
  number=$(basename "$(dirname "$driver")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$driver" "$output"/*.o \
    -o "$output/case-$number"
done
