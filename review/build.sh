#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -f target/review/play
mkdir -p target/review
read -ra FLAGS <<<"$(pkg-config --cflags --libs jsoncpp)"
g++ -std=c++20 -O1 -g -Wall -Wextra -I. review/stand_ins/*.cpp \
  -o target/review/play "${FLAGS[@]}" -pthread
