#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-3.sh. Exit status: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
files=$(mktemp -d)
trap 'rm -rf "$files"' EXIT
timeout -k 5 110 java -Xmx128m -Djava.io.tmpdir="$files" \
  -cp "$root/target/review-3:$root/target/nutmegseam.jar" \
  AdapterCase "$root" "$folder" "${TROUBLE:-1}"
status=$?
case "$status" in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
