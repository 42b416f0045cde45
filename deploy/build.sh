#!/usr/bin/env bash
# Builds the program of the entry VMs into target/, with an archive of its loaded classes for faster starts.
set -euo pipefail
cd "$(dirname "$0")/.."
output="$PWD/target"
mvn -q -B -DskipTests -Dskip.style=true -Dmodule.output='${maven.multiModuleProjectDirectory}/target/${project.artifactId}' \
  -pl entry,standin -am package
cp "$output/banyanturn-entry/banyanturn-entry-0.1.0-all.jar" "$output/entry.jar"
deploy/archive-classes.sh || echo "no archive of classes: the program starts without it" >&2
