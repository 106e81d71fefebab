#!/bin/bash
# Clients send bodies of the largest size that the configuration allows. Usually
# two at a time; in a burst, 14 at once. The script takes the part of the platform
# that ends a process above its memory. Exits with 1 if LOST is broken.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

MEMORY_MB=110 # of an edge machine of karkud-tagasi
BURST=14      # 1.7 times the 16 clients of a zone, over its two machines
MAX_BODY=4194304
KEPT=5
CONFIGURATION='{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/ledger/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":0,"backend":"app","attempts":1,"allow-anonymous":true}],"backends":[{"name":"app","health-check":"/healthz","max-connections":100,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'

# request ID PATH BYTES: a head.
request() {
  printf 'POST /ledger/%s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %s\r\n\r\n' "$2" "$1" "$3"
}

# upload ID: sends a body of the largest size and waits for its answer.
upload() {
  local socket line=
  exec {socket}<>"/dev/tcp/127.0.2.1/${PORTS[2]}" || return
  { request "$1" fast $MAX_BODY && cat "$WORK/body"; } >&"$socket" 2>/dev/null
  IFS= read -r -t 4 line <&"$socket"
  echo "upload $1: ${line:-connection closed, no answer}" >>"$WORK/answers"
}

# keep N: a client with a kept connection: a request, its answer, and then one
# that runs while the others upload.
keep() {
  local socket line=
  exec {socket}<>"/dev/tcp/127.0.2.1/${PORTS[2]}" || return
  request "kept$1-first" fast 0 >&"$socket"
  while IFS= read -r -t 4 line <&"$socket" && [ "$line" != $'\r' ]; do :; done
  IFS= read -r -t 4 -n $((${#1} + 15)) line <&"$socket" # done kept1-first
  until [ -e "$WORK/go" ]; do sleep 0.01; done
  sleep 0.0$1
  request "kept$1-second" slow/ 0 >&"$socket"
  line=
  IFS= read -r -t 4 line <&"$socket"
  echo "kept$1-second: ${line:-connection closed, no answer}" >>"$WORK/answers"
}

# watch_memory PID: ends the process above its memory, as the platform does.
watch_memory() {
  local key value rest
  while [ -e "/proc/$1/status" ]; do
    while read -r key value rest; do
      if [ "$key" = VmRSS: ] && [ "$value" -gt $((MEMORY_MB * 1024)) ]; then
        echo "the entry has $value KB, over $MEMORY_MB MB: it is killed" >>"$WORK/answers"
        kill -KILL "$1"
        return
      fi
    done 2>/dev/null <"/proc/$1/status"
  done
}

start_deployment 1 app 4 "$CONFIGURATION"
head -c $MAX_BODY /dev/zero >"$WORK/body"
: >"$WORK/answers"
watch_memory "${ENTRY_PID[1]}" &
PIDS+=($!)
CLIENTS=()
for ((i = 1; i <= KEPT; i++)); do
  keep $i &
  CLIENTS+=($!)
done
sleep 1
touch "$WORK/go"
for ((i = 1; i <= BURST; i++)); do
  upload $i &
  CLIENTS+=($!)
  [ "$TROUBLE" != 0 ] || [ $((i % 2)) = 1 ] || wait $!
done
wait "${CLIENTS[@]}"

cat "$WORK/answers" "$RAN" >>"$RECORD"
cat "$WORK/answers"
LOST=0
for ((i = 1; i <= KEPT; i++)); do
  if grep -q "id=kept$i-second " "$RAN" &&
    grep -q "^kept$i-second: connection closed" "$WORK/answers"; then
    LOST=$((LOST + 1))
  fi
done
note "$LOST requests from kept connections were passed on to a sound worker, and the connection closed without an answer"
BROKEN=$((LOST > 3 ? 1 : 0))
note "result: $([ $BROKEN = 1 ] && echo broken || echo held)"
exit $BROKEN
