#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The build of the deploy file goes first.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-3
rm -rf "$out"
mkdir -p "$out"
javac -nowarn -d "$out" -cp "$root/target/nutmegseam.jar" "$root"/review/standin-3/*.java
