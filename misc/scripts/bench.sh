#!/usr/bin/env bash
# Builds and runs the benchmarks: a table on stderr, one JSON object a line on
# stdout. Usage: bench.sh [--quick]
set -euo pipefail
cd "$(dirname "$0")/../.."

MEASURES=()
DECISIONS=()
case "${1:-}" in
"") ;;
--quick)
  MEASURES=(--quick)
  DECISIONS=(--benchmark_min_time=0.05)
  ;;
*)
  echo "usage: bench.sh [--quick]" >&2
  exit 2
  ;;
esac

cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target bench_decisions bench_measures \
  bench_dispatch >/dev/null
build/tests/bench/bench_decisions "${DECISIONS[@]}"
build/tests/bench/bench_measures "${MEASURES[@]}"
build/tests/bench/bench_dispatch
