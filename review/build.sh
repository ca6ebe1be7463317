#!/bin/bash
# Builds the stand-ins of all cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for scenario in review/[0-9]*/scenario.cpp; do
  number=$(basename "$(dirname "$scenario")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-restrict -Wno-missing-field-initializers \
    -DASIO_STANDALONE -Isrc "$scenario" target/libscheduler_net.a target/libscheduler_wire.a \
    -lhttp_parser -lcbor -lpthread -o "target/review/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
