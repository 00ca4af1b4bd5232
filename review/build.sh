#!/usr/bin/env bash
# Builds the programs that the scripts of review/ start, with the stand-ins of soak/ that they use, into target/review.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$top/review" -B "$top/target/review" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
ninja -C "$top/target/review" --quiet
