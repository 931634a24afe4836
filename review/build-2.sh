#!/usr/bin/env bash
# Builds the programs of the cases of the second review, with all stand-ins,
# into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview "review/$n/case.cc" \
    -o "target/review-2/case-$n"
done
