#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/bin. It runs after the build of the deploy file.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$top/review/soak" -B "$top/target/review-2" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$top/target/review-2" ${CHERVIL_JOBS:+-j "$CHERVIL_JOBS"}
