#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. The build of
# deploy/system.toml goes first. Needs a C++20 compiler and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [[ -e $source ]] || continue
  n=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -Ireview "$source" \
    -o "target/review/case-$n"
done
