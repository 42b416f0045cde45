#!/usr/bin/env bash
# Runs the built program for a moment, alone on loopback, and archives the classes that it loads in target/entry.jsa.
# The flags and the path of the jar must be those of deploy/system.toml, or the archive is not used.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -f target/entry.jsa
BANYANTURN_BOOT=deploy/rehearsal.json java -Xmx128m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -XX:ArchiveClassesAtExit=target/entry.jsa -jar target/entry.jar > target/rehearsal.log 2>&1 &
program=$!

# ask PORT PATH sends one request and waits for its answer.
ask() {
  exec 3<> "/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: rehearsal\r\nAttempt-Id: 1\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n' "$2" >&3
  timeout 2 cat <&3 > /dev/null || true
  exec 3>&-
}

for _ in $(seq 100); do
  if ask 28224 /api/ready 2> /dev/null; then break; fi
  sleep 0.1
done
ask 28221 /rehearsal/ || true
sleep 1
kill -TERM "$program"
wait "$program" || true
test -s target/entry.jsa
