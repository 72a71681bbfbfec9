#!/bin/sh
# Compiles the stand-ins of the scripts; needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/nutmegseam.jar review/standin/*.java
