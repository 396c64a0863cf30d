#!/usr/bin/env bash
# Checks format and lint rules of all sources, and that the scripts which README
# names can be run. Usage: lint.sh [BUILD_DIR]
# A file that passed is not linted again while it, every header it includes,
# its compile command and the lint rules stay the same.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=${1:-build}
export BUILD STAMPS=$BUILD/lint-stamps
mkdir -p "$STAMPS"

# README shows these as commands.
for script in $(grep -oE 'misc/scripts/[a-z_]+\.sh' README.md | sort -u); do
  if [ ! -x "$script" ]; then
    echo "README.md names $script, which is not executable" >&2
    exit 1
  fi
done

# Generated stubs follow their generator's style.
mapfile -t FILES < <(git ls-files --cached --others --exclude-standard \
  '*.h' '*.cpp' | grep -v '/generated/')
clang-format --dry-run -Werror "${FILES[@]}"

lint_file() {
  local file=$1 deps stamp hash
  stamp=$STAMPS/${file//\//_}
  # Headers outside the tree come from packages and change with the compiler.
  # A file whose headers cannot be listed is linted every time.
  if ! deps=$(g++ -std=c++20 -I. -I/usr/include/jsoncpp -MM "$file" 2>/dev/null); then
    clang-tidy -p "$BUILD" --quiet "$file" 2>/dev/null
    return
  fi
  hash=$({ echo "$deps" |
    tr -d '\\' | tr ' ' '\n' | grep -E '\.(h|cpp)$' | grep -v '^/' |
    sort -u | xargs cat
    cat .clang-tidy CMakeLists.txt
    clang-tidy --version; } | sha256sum)
  [ -e "$stamp" ] && [ "$(cat "$stamp")" = "$hash" ] && return 0
  clang-tidy -p "$BUILD" --quiet "$file" 2>/dev/null || return 1
  echo "$hash" >"$stamp"
}
export -f lint_file
printf '%s\n' "${FILES[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_file {}'
