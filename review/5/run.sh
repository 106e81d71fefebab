#!/bin/bash
# A user returns with a prompt of many parts, inside max-header-bytes, which a store
# keeps by then. Exits with 1 if LOST is broken. TROUBLE=0: half as many parts.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

PARTS=2737
KEPT=5
MAX_HEADER=16384
STORE_IP=127.100.100.101
CONFIGURATION='{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/m/","kind":"streaming","timeout-ms":10000,"target-latency-ms":600,"priority":0,"backend":"model","attempts":2,"allow-anonymous":true,"sticky":true,"resumable":true,"target-gap-ms":300}],"backends":[{"name":"model","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":100000,"kv-token-bytes":163840,"link-mbps":260000.0,"models":[{"name":"m"}]}},{"name":"store","kv-store-addr":"STORE","zone":"dc1","kv-capacity":80027,"link-mbps":840000.0,"max-in-flight":12,"managed":true,"first_ms":0.5}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'
[ "$TROUBLE" != 0 ] || PARTS=$((PARTS / 2))

# head_of ID PATH PREFIX TOKENS
head_of() {
  printf 'POST /m/%s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: %s,8\r\nPrompt-Prefix: %s\r\nContent-Length: 0\r\n\r\n' "$2" "$1" "$4" "$3"
}

# ask ENTRY ID: the long prompt; its last part is the request's own.
ask() {
  local request answer
  request=$(head_of "$2" "" "$(printf '%x:1,' $(seq 0 $((PARTS - 2))))$2:1" $PARTS)$'\n'
  [ ${#request} -le $MAX_HEADER ] || cannot_run "the head has ${#request} bytes"
  answer=$(http 127.0.2.$1 "${PORTS[2]}" "$request" 2 | head -n 1 | tr -d '\r\0')
  note "sent $2 to entry $1, $PARTS parts, a head of ${#request} bytes: ${answer:-connection closed, no answer}"
}

# keep N: a client with a kept connection to entry 1: a request, its answer, and
# then one that runs while the long prompt comes.
keep() {
  local socket line=
  exec {socket}<>"/dev/tcp/127.0.2.1/${PORTS[2]}" || return
  head_of "a$1" "" "f000$1:10,e$1:10" 20 >&"$socket"
  while IFS= read -r -t 4 line <&"$socket" && [ "$line" != $'0\r' ]; do :; done
  IFS= read -r -t 1 line <&"$socket" # the empty line after the last chunk
  until [ -e "$WORK/go" ]; do sleep 0.01; done
  head_of "b$1" slow/ "f000$1:10,d$1:10" 20 >&"$socket"
  line=
  IFS= read -r -t 4 line <&"$socket"
  echo "kept connection, b$1: ${line:-connection closed, no answer}" >>"$WORK/answers"
}

start_deployment 2 model 3 "$CONFIGURATION"
: >"$WORK/answers"
sleep 2 # until the entries know the store
ask 1 c1
CLIENTS=()
for ((i = 1; i <= KEPT; i++)); do
  keep $i &
  CLIENTS+=($!)
done
sleep 2 # the saved parts are known
touch "$WORK/go"
sleep 0.15
ask 1 c2
ask 2 c3 # the client's retry reaches the other entry
wait "${CLIENTS[@]}"

cat "$WORK/answers" "$RAN" >>"$RECORD"
cat "$WORK/answers"
for i in 1 2; do
  kill -0 "${ENTRY_PID[$i]}" 2>/dev/null && continue
  wait "${ENTRY_PID[$i]}"
  note "entry $i has ended by itself, status $?: $(grep -a 'name=ProcessFailed' "$WORK/entry$i.log" | tail -n 1)"
done
LOST=0
for ((i = 1; i <= KEPT; i++)); do
  if grep -q "id=b$i " "$RAN" && grep -q "b$i: connection closed" "$WORK/answers"; then
    LOST=$((LOST + 1))
  fi
done
note "$LOST requests from kept connections were passed on to a sound worker, and the connection closed without an answer"
BROKEN=$((LOST > 3 ? 1 : 0))
note "result: $([ $BROKEN = 1 ] && echo broken || echo held)"
exit $BROKEN
