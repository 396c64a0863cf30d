#!/usr/bin/env bash
# Checks format and lint rules of all sources. Usage: lint.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=${1:-build}

# Generated stubs follow their generator's style.
mapfile -t FILES < <(git ls-files --cached --others --exclude-standard \
  '*.h' '*.cpp' | grep -v '/generated/')
clang-format --dry-run -Werror "${FILES[@]}"
printf '%s\n' "${FILES[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet 2>/dev/null
