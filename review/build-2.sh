#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the
# packages of deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
SOURCES=(review/stand_ins_2/*.cpp tests/process/launcher.cpp core/*.cpp)
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -I. -I/usr/include/jsoncpp -c "$1" \
    -o "$OUT/$(echo "$1" | tr / _).o"
}
export -f compile
export OUT
printf '%s\n' "${SOURCES[@]}" | xargs -P 4 -I{} bash -c 'compile {}'
OBJECTS=()
for SOURCE in "${SOURCES[@]}"; do
  OBJECTS+=("$OUT/$(echo "$SOURCE" | tr / _).o")
done
g++ "${OBJECTS[@]}" -o "$OUT/play" -ljsoncpp -lxxhash -lpthread
