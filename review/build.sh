#!/usr/bin/env bash
# Builds the stand-ins that the cases of the review start, to review/build. Run it after the build of
# deploy/system.toml, whose libraries in target/ it links. Needs that file's packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${OUT:-review/build}
mkdir -p "$out"
libraries=$(printf 'target/src/libsavorywick_%s.a ' adapter node net core)
flags="-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -Wno-restrict -DBOOST_LOG_DYN_LINK"
includes="-Iinclude -Isrc -I. $(pkg-config --cflags jsoncpp)"
objects=()
builds=()
for source in review/harness/*.cpp tests/soak/platformstandin.cpp; do
    object=$out/$(basename "${source%.cpp}").o
    # shellcheck disable=SC2086
    g++ $flags $includes -c "$source" -o "$object" &
    builds+=($!)
    objects+=("$object")
done
for build in "${builds[@]}"; do
    wait "$build"
done
for source in review/*/case.cpp; do
    case=$(basename "$(dirname "$source")")
    # shellcheck disable=SC2086
    g++ $flags $includes "$source" "${objects[@]}" $libraries target/src/libsavorywick.a \
        $(pkg-config --libs jsoncpp libxxhash) -lboost_log -lboost_thread -lboost_system -lpthread \
        -o "$out/case-$case"
done
