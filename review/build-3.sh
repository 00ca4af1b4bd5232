#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review-3/bin. It runs after the build of the deploy file.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$top/review/standins-3" -B "$top/target/review-3" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build "$top/target/review-3" ${CHERVIL_JOBS:+-j "$CHERVIL_JOBS"}
