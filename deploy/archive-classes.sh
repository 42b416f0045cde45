#!/usr/bin/env bash
# Rehearses the built program, with a second VM and a stand-in for the platform, all on loopback, and archives the
# classes that it loads while it serves in target/entry.jsa.
# The flags and the path of the jar must be those of deploy/system.toml, or the archive is not used.
set -euo pipefail
cd "$(dirname "$0")/.."

STANDIN_JAR=target/banyanturn-standin/banyanturn-standin-0.1.0-all.jar
STORE_PORT=28225
CALLER_PORT=28221
READY_PORT=28224

flags=(-Xmx128m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Dio.netty.jfr.enabled=false)
started=()
trap 'kill -TERM "${started[@]}" 2> /dev/null || true' EXIT

# ask HOST PORT METHOD PATH KEY MODEL sends one request and waits for its answer.
ask() {
  exec 3<> "/dev/tcp/$1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n' \
    "$3" "$4" "$RANDOM" "$5" >&3
  printf 'Model: %s\r\nToken-Count: 60,40\r\nPrompt-Prefix: 5c1e07a2:40\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}' \
    "$6" >&3
  timeout 3 cat <&3 > /dev/null || true
  exec 3>&-
}

# await_port HOST PORT PATH waits until something answers.
await_port() {
  for _ in $(seq 100); do
    if ask "$1" "$2" GET "$3" none m0 2> /dev/null; then return; fi
    sleep 0.1
  done
}

rm -f target/entry.jsa
java -Xmx128m -cp "$STANDIN_JAR" org.banyanturn.standin.hosted.HostedStandinMainKt \
  --store-port "$STORE_PORT" --document deploy/rehearsal/document.json > target/rehearsal-standin.log 2>&1 &
started+=($!)
await_port 127.0.0.1 "$STORE_PORT" /api/log-owners
BANYANTURN_BOOT=deploy/rehearsal/settings-2.json java "${flags[@]}" -jar target/entry.jar > target/rehearsal-2.log 2>&1 &
started+=($!)
BANYANTURN_BOOT=deploy/rehearsal/settings-1.json java "${flags[@]}" -XX:ArchiveClassesAtExit=target/entry.jsa \
  -jar target/entry.jar > target/rehearsal-1.log 2>&1 &
program=$!
started+=("$program")
await_port 127.0.0.1 "$READY_PORT" /api/ready
await_port 127.0.0.2 "$READY_PORT" /api/ready

# Engines are ordered only after the lease of an owner before has passed.
sleep 4
for host in 127.0.0.1 127.0.0.2; do
  for model in m0 m0/a1 m1 m2 m0; do ask "$host" "$CALLER_PORT" POST /notes/1 rehearsal "$model" || true; done
  ask "$host" "$CALLER_PORT" POST /book/1 rehearsal "" || true
  ask "$host" "$CALLER_PORT" GET /read/1 rehearsal "" || true
  ask "$host" "$CALLER_PORT" GET /read/1 nobody "" || true
  ask "$host" "$CALLER_PORT" GET /nowhere/1 rehearsal "" || true
done
for _ in $(seq 60); do ask 127.0.0.1 "$CALLER_PORT" POST /book/1 rehearsal "" || true; done
sleep 1
kill -TERM "$program"
wait "$program" || true
test -s target/entry.jsa
