#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption
# out. It needs the build of the deploy file and that of review/build-2.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
program="$top/target/review-2/bin/case_parts"
node="$top/target/bin/chervil-node"
if [ ! -x "$program" ] || [ ! -x "$node" ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d "${TMPDIR:-/tmp}/chervil-review.XXXXXX")
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$program" "$node" "$folder" "$here/record.txt"
code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
