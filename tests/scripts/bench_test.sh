#!/usr/bin/env bash
# Tests scripts/bench in a temporary tree whose benchmarks are shell scripts: how it summarizes,
# compares and records results, and which arguments and benchmarks it rejects. Prints each failed
# check; exits with status 0 if and only if there is none.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$dir/scripts" "$dir/bench" "$dir/build/release/bench"
cp "$root/scripts/bench" "$dir/scripts/bench"
printf '#!/bin/sh\n' >"$dir/scripts/build"
chmod +x "$dir/scripts/build"
cd "$dir"
failures=0

# make_bench NAME COMMANDS: creates a benchmark whose program runs the given shell commands.
make_bench()
{
    touch "bench/$1_bench.cpp"
    printf '#!/bin/sh\n%s\n' "$2" >"build/release/bench/$1_bench"
    chmod +x "build/release/bench/$1_bench"
}

# expect_status STATUS ARGUMENT...: checks that scripts/bench with the arguments exits with STATUS.
# Leaves its output in the files out and err.
expect_status()
{
    local expected=$1 status=0
    shift
    scripts/bench "$@" >out 2>err || status=$?
    if [ $status -ne "$expected" ]; then
        echo "scripts/bench $*: expected exit status $expected, got $status"
        cat out err
        failures=$((failures + 1))
    fi
}

# expect_match yes|no FILE PATTERN: checks that FILE has a line that matches PATTERN, or has none.
expect_match()
{
    local expected=$1 file=$2 pattern=$3 found=no
    grep -qE -- "$pattern" "$file" && found=yes
    if [ $found != "$expected" ]; then
        echo "$file: line that matches '$pattern': expected $expected, got $found; content:"
        cat "$file"
        failures=$((failures + 1))
    fi
}

line='{"bench":"steady","case":"a, b","metric":"time us","value":%s}\n'
make_bench steady "n=\$(cat n); echo \$((n - 10)) >n; printf '$line' \$n"
make_bench other 'echo "{\"bench\":\"other\",\"case\":\"c\",\"metric\":\"m\",\"value\":1.5e-07}"'

# Summarizes the runs as min, median and max.
echo 120 >n
expect_status 0 --repeat 3 steady
expect_match yes build/bench/results.json '"case":"a, b","metric":"time us","runs":3,"min":100,"median":110,"max":120'
expect_match yes out '^a, b +time us +100 +110 +120 +-$'
# Records results only with --record, and keeps those of benchmarks that were not run.
expect_status 0 --repeat 2 --record other
echo 120 >n
expect_status 0 --repeat 2 --record steady
expect_match yes bench/recorded.json '"bench":"other".*"median":1.5e-07'
expect_match yes bench/recorded.json '"bench":"steady".*"median":115'
# Prints the ratio of the median to the recorded one.
echo 230 >n
expect_status 0 --repeat 1 steady
expect_match yes out '^a, b +time us +230 +230 +230 +2\.000$'

# If a benchmark fails, reports it, leaves out its results, runs the others and records nothing.
cp bench/recorded.json before.json
make_bench broken 'echo "{\"bench\":\"broken\",\"case\":\"c\",\"metric\":\"m\",\"value\":1}"; echo oops >&2; exit 3'
expect_status 1 --repeat 1 --record broken other
expect_match yes err 'broken failed: exit status 3'
expect_match yes err '^oops$'
expect_match no build/bench/results.json broken
expect_match yes build/bench/results.json '"bench":"other"'
cmp bench/recorded.json before.json || failures=$((failures + 1))
# A benchmark that prints no results, or a value that is no number, counts as failed.
make_bench broken true
expect_status 1 broken
expect_match yes err 'no result lines'
make_bench broken 'echo "{\"bench\":\"broken\",\"case\":\"c\",\"metric\":\"m\",\"value\":nan}"'
expect_status 1 broken
expect_match yes err 'not a result line: .*nan'

# Rejects unknown benchmarks, invalid numbers of runs and unknown options.
expect_status 2 missing
expect_match yes err "no benchmark 'missing'; choose from: broken other steady"
expect_status 2 --repeat 0 steady
expect_status 2 --quick
exit $((failures > 0))
