#!/bin/sh
# Builds the stand-ins of review/stand_ins_3 into target/review-3, with the
# libraries that the build of deploy/system.toml has left in target/.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-3
rm -rf "$OUT"
mkdir -p "$OUT"
COMPILERS=
for SOURCE in review/stand_ins_3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -I. -I/usr/include/jsoncpp -c "$SOURCE" \
    -o "$OUT/$(basename "$SOURCE" .cpp).o" &
  COMPILERS="$COMPILERS $!"
done
for COMPILER in $COMPILERS; do
  wait "$COMPILER"
done
g++ "$OUT"/*.o target/drivers/beast/libdg_beast.a target/core/libdg_core.a \
  -ljsoncpp -lxxhash -lpthread -o "$OUT/bed"
