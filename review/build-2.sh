#!/bin/bash
# Builds the stand-ins that the cases 4 to 8 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-restrict -DASIO_STANDALONE -Isrc -Ireview/stand-ins-2)
libraries=(target/libscheduler_net.a target/libscheduler_wire.a -lhttp_parser -lcbor -lpthread)
g++ "${flags[@]}" -c review/stand-ins-2/world.cpp -o "$out/world.o"
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/world.o" "${libraries[@]}" -o "$out/case-$number"
done
