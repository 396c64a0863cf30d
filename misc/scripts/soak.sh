#!/usr/bin/env bash
# Runs the fault soak for a range of seeds, some at a time, and prints what each
# found. Usage: soak.sh [FIRST_SEED] [RUNS] [SECONDS] [AT_A_TIME], or
# soak.sh --kept for the seeds that have failed before.
set -euo pipefail
cd "$(dirname "$0")/../.."

KEPT=tests/soak/seeds.txt
FIRST=${1:-$(date +%s)}
RUNS=${2:-10}
SECONDS_EACH=${3:-25}
AT_A_TIME=${4:-4}
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target soak >/dev/null
OUT=$(mktemp -d)
export SECONDS_EACH OUT
run_one() {
  build/tests/soak/soak --daemon=build/main/damaskgladed --seed="$1" \
    --seconds="$SECONDS_EACH" --logs="$OUT/$1" >"$OUT/$1.out" 2>&1 ||
    echo "seed $1 failed:" "$(grep -c FOUND "$OUT/$1.out" || true)" findings
  tail -1 "$OUT/$1.out"
}
export -f run_one
if [ "$FIRST" = --kept ]; then
  mapfile -t SEEDS < <(grep -v '^#' "$KEPT" | cut -d' ' -f1)
else
  mapfile -t SEEDS < <(seq "$FIRST" $((FIRST + RUNS - 1)))
fi
printf '%s\n' "${SEEDS[@]}" | xargs -P "$AT_A_TIME" -I{} bash -c 'run_one {}'
FAILED=$(grep -l FOUND "$OUT"/*.out | wc -l || true)
echo "$((${#SEEDS[@]} - FAILED)) passed, $FAILED failed"
[ "$FAILED" = 0 ]
