#!/usr/bin/env bash
# scripts/bench over a small tree whose benchmarks are stand-ins: what it gathers, compares, records
# and refuses. Prints every difference; exits 0 if and only if there is none.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$dir/scripts" "$dir/bench" "$dir/build/release/bench"
cp "$root/scripts/bench" "$dir/scripts/bench"
printf '#!/bin/sh\n' >"$dir/scripts/build"
chmod +x "$dir/scripts/build"
cd "$dir"
faults=0

# Makes a benchmark whose program is the given shell text.
bench()
{
    touch "bench/$1_bench.cpp"
    printf '#!/bin/sh\n%s\n' "$2" >"build/release/bench/$1_bench"
    chmod +x "build/release/bench/$1_bench"
}

# Checks that scripts/bench with the arguments after the first ends with that status.
expect_status()
{
    local wanted=$1 status=0
    shift
    scripts/bench "$@" >out 2>err || status=$?
    if [ $status -ne "$wanted" ]; then
        echo "scripts/bench $*: expected exit status $wanted, was $status"
        cat out err
        faults=$((faults + 1))
    fi
}

# Checks that a file has (or, with `no`, lacks) a line that matches the pattern.
expect()
{
    local has=$1 file=$2 pattern=$3 found=no
    grep -qE -- "$pattern" "$file" && found=yes
    if [ $found != "$has" ]; then
        echo "$file: expected '$pattern' to be there: $has, was: $found; the file says:"
        cat "$file"
        faults=$((faults + 1))
    fi
}

line='{"bench":"steady","case":"a, b","metric":"time us","value":%s}\n'
bench steady "n=\$(cat n); echo \$((n - 10)) >n; printf '$line' \$n"
bench other 'echo "{\"bench\":\"other\",\"case\":\"c\",\"metric\":\"m\",\"value\":1.5e-07}"'

# Gathers: min, median and max over the runs.
echo 120 >n
expect_status 0 --repeat 3 steady
expect yes build/bench/results.json '"case":"a, b","metric":"time us","runs":3,"min":100,"median":110,"max":120'
expect yes out '^a, b +time us +100 +110 +120 +-$'
# Records only when asked to, and then keeps what was not run.
expect_status 0 --repeat 2 --record other
echo 120 >n
expect_status 0 --repeat 2 --record steady
expect yes bench/recorded.json '"bench":"other".*"median":1.5e-07'
expect yes bench/recorded.json '"bench":"steady".*"median":115'
# Compares with what was recorded.
echo 230 >n
expect_status 0 --repeat 1 steady
expect yes out '^a, b +time us +230 +230 +230 +2\.000$'

# Reports a benchmark that fails, leaves it out, runs the others and records nothing.
cp bench/recorded.json before.json
bench broken 'echo "{\"bench\":\"broken\",\"case\":\"c\",\"metric\":\"m\",\"value\":1}"; echo oops >&2; exit 3'
expect_status 1 --repeat 1 --record broken other
expect yes err 'broken failed: exit status 3'
expect yes err '^oops$'
expect no build/bench/results.json broken
expect yes build/bench/results.json '"bench":"other"'
cmp bench/recorded.json before.json || faults=$((faults + 1))
# So does one that prints nothing, or no number.
bench broken true
expect_status 1 broken
expect yes err 'no result lines'
bench broken 'echo "{\"bench\":\"broken\",\"case\":\"c\",\"metric\":\"m\",\"value\":nan}"'
expect_status 1 broken
expect yes err 'not a result line: .*nan'

# Refuses what it does not know.
expect_status 2 missing
expect yes err "no benchmark 'missing'; choose from: broken other steady"
expect_status 2 --repeat 0 steady
expect_status 2 --quick
exit $((faults > 0))
