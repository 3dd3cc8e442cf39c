#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, against the libraries that the
# build of the deploy file has made under target/. It needs that file's packages alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build/stage
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -DBOOST_LOG_DYN_LINK -Isrc -Iinclude -I. -Ireview/stage)
read -ra jsoncpp <<<"$(pkg-config --cflags --libs jsoncpp)"
read -ra xxhash <<<"$(pkg-config --libs libxxhash)"
libraries=(target/src/libsavorywick_adapter.a target/src/libsavorywick_node.a
    target/src/libsavorywick_net.a target/src/libsavorywick_core.a target/src/libsavorywick.a)
common=(review/stage/*.cpp tests/soak/platformstandin.cpp)
pids=()
for source in "${common[@]}" review/[0-9]*/scene.cpp; do
    object=$out/$(tr / - <<<"${source%.cpp}").o
    g++ "${flags[@]}" "${jsoncpp[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
objects=()
for source in "${common[@]}"; do objects+=("$out/$(tr / - <<<"${source%.cpp}").o"); done
for source in review/[0-9]*/scene.cpp; do
    case=$(basename "$(dirname "$source")")
    g++ -pthread "$out/$(tr / - <<<"${source%.cpp}").o" "${objects[@]}" -o "$out/case-$case" \
        -Wl,--start-group "${libraries[@]}" -Wl,--end-group "${jsoncpp[@]}" "${xxhash[@]}" \
        -lboost_log -lboost_thread -lboost_system
done
