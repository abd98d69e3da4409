#!/usr/bin/env bash
# Mutation test: builds once for each mutant of tests/mutants.txt, with that one
# mechanism disabled, and expects at least one of the tests named there to fail.
# The same tests must pass in a build without a mutant first. Arguments: names
# of mutants, or "fast" for all that are not marked "slow" (default: all). JOBS:
# parallel jobs of a build (default 4).
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-4}
dir=build-mutant
passed=0
failed=0

# Prints the build targets that tests need: targets TEST...
targets() {
  printf '%s\n' "$@" | grep -v '^system_' | sort -u || true
  if printf '%s\n' "$@" | grep -q '^system_'; then
    printf '%s\n' magnoliabarrowd magnoliabarrow standin-log standin-upstream standin-relay \
      standin-store standin-crowd
  fi
}

# Builds what tests need with a mutant, or the unchanged code when MUTANT is
# empty: build MUTANT TEST...
build() {
  local mutant=$1 names
  shift
  names=$(targets "$@")
  cmake -S . -B "$dir" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_C_FLAGS=-O1 -DMB_MUTANT="$mutant" > /dev/null
  # shellcheck disable=SC2086
  cmake --build "$dir" -j "$jobs" --target $names > "$dir/build.log" 2>&1 || {
    tail -n 30 "$dir/build.log" >&2
    return 1
  }
}

# Runs the tests $@; true when all pass, false also when no test has such a name.
run_tests() {
  local pattern
  pattern=$(printf '%s\n' "$@" | paste -sd '|')
  ctest --test-dir "$dir" -R "^($pattern)\$" --no-tests=error > "$dir/test.log" 2>&1
}

mkdir -p "$dir"
rows=$(grep -v '^#' tests/mutants.txt | grep -v '^$')
if [ "${1:-}" = fast ]; then
  rows=$(grep -v '^slow ' <<< "$rows")
  shift
fi
rows=${rows//slow /}
if [ $# -gt 0 ]; then
  rows=$(for name in "$@"; do grep -E "^$name " <<< "$rows" || { echo "no mutant $name" >&2; exit 2; }; done)
fi
all=$(cut -d ' ' -f 2- <<< "$rows" | tr ' ' '\n' | sort -u)
# shellcheck disable=SC2086
build "" $all || exit 1
# shellcheck disable=SC2086
run_tests $all || {
  echo "tests fail without a mutant" >&2
  tail -n 30 "$dir/test.log" >&2
  exit 1
}
while read -r name tests; do
  grep -rqE "MB_MUTANT_$name\b" lib platform programs || { echo "FAIL $name: no such mutant in the code"; failed=$((failed + 1)); continue; }
  # shellcheck disable=SC2086
  if ! build "$name" $tests; then
    echo "FAIL $name: does not build"
    failed=$((failed + 1))
  elif run_tests $tests; then
    echo "FAIL $name: not caught by $tests"
    failed=$((failed + 1))
  else
    echo "ok $name caught by $tests"
    passed=$((passed + 1))
  fi
done <<< "$rows"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
