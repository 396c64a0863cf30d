#!/usr/bin/env bash
# Long form of the process failure tests: each scenario with longer faults, a
# higher load and several seeds. Usage: prove.sh [SEED...]
set -euo pipefail
cd "$(dirname "$0")/../.."
SEEDS=("$@")
[ ${#SEEDS[@]} -gt 0 ] || SEEDS=(1 2 3)

cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target test_process test_process_tools
build/tests/process/test_process_tools --report_level=short

FAILED=()
for SEED in "${SEEDS[@]}"; do
  for SCENARIO in $(ctest --test-dir build -N -L '^process$' |
    sed -n 's/.*Test *#[0-9]*: process_//p'); do
    DAMASKGLADE_LONG=1 DAMASKGLADE_SEED=$SEED build/tests/process/test_process \
      --run_test="Scenarios/$SCENARIO" --color_output=no ||
      FAILED+=("$SCENARIO with seed $SEED")
  done
done
printf 'failed: %s\n' "${FAILED[@]:-none}"
[ ${#FAILED[@]} -eq 0 ]
