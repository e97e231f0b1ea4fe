#!/usr/bin/env bash
# Builds the clients, servers and operators of the cases, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
  [ -e "$folder/case.cpp" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread \
    -o "target/review/case-$(basename "$folder")" "$folder/case.cpp" review/stand_in/*.cpp
done
