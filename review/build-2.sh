#!/usr/bin/env bash
# Builds the stand-ins and callers of the scripts in review/6 and following, with the JDK alone. deploy/build.sh, which
# builds the entry program, runs before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/6/Rig.java review/[0-9]*/Case*.java
