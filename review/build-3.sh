#!/usr/bin/env bash
# Builds the stand-ins and the plays of the cases from 11 on, to target/review-3, with the libraries
# that the build of the deploy file has left in target/src.
#   review/build-3.sh
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
libraries=target/src
if [ ! -e "$libraries/libsavorywick_node.a" ]; then
    echo "review/build-3.sh: run the build of deploy/system.toml first" >&2
    exit 2
fi
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -I. -Isrc -Iinclude)
read -ra json <<<"$(pkg-config --cflags jsoncpp)"
flags+=("${json[@]}")
parts=(review/fleet/*.cpp tests/soak/platformstandin.cpp tests/soak/nodeprocess.cpp)
objects=()
jobs=()
compile() {
    g++ "${flags[@]}" -c "$1" -o "$2" &
    jobs+=($!)
}
for source in "${parts[@]}"; do
    objects+=("$out/$(basename "$source" .cpp).o")
    compile "$source" "${objects[-1]}"
done
plays=(review/*/play.cpp)
for play in "${plays[@]}"; do
    compile "$play" "$out/play-$(basename "$(dirname "$play")").o"
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for play in "${plays[@]}"; do
    case=$(basename "$(dirname "$play")")
    g++ "$out/play-$case.o" "${objects[@]}" -o "$out/play-$case" \
        "$libraries"/libsavorywick_adapter.a "$libraries"/libsavorywick_node.a \
        "$libraries"/libsavorywick_net.a "$libraries"/libsavorywick_core.a \
        "$libraries"/libsavorywick.a -ljsoncpp -lxxhash -lboost_log -lboost_thread \
        -lboost_system -lpthread
done
echo "built ${#plays[@]} plays to $out"
