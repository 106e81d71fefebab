#!/bin/bash
# A client sends a booking whose body is the text of another booking, with a
# Transfer-Encoding that does not end in `chunked`. Exits with 1 if UNASKED is
# broken. TROUBLE=0: the same body in chunks.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

CONFIGURATION='{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/book/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":0,"backend":"app","attempts":1,"allow-anonymous":false}],"backends":[{"name":"app","health-check":"/healthz","max-connections":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t1","api-keys":["key-of-t1"]}]}'
KEY=$'Authorization: Token key-of-t1\r\n'

# book NUMBER CODING: sends the booking sent-NUMBER; its body is the text of a
# request with the id body-NUMBER.
book() {
  local body request
  body=$'POST /book/ HTTP/1.1\r\nHost: app.example\r\n'
  body+="Request-Id: body-$1"$'\r\nDeadline-Ms: 3000\r\n'"$KEY"
  body+=$'Content-Length: 0\r\n\r\n'
  request=$'POST /book/ HTTP/1.1\r\nHost: app.example\r\n'
  request+="Request-Id: sent-$1"$'\r\nDeadline-Ms: 3000\r\n'"$KEY"
  request+="Transfer-Encoding: $2"$'\r\n\r\n'
  if [ "$2" = chunked ]; then
    request+="$(printf '%x' ${#body})"$'\r\n'"$body"$'\r\n0\r\n\r\n'
  else
    request+="$body"
  fi
  note "sent sent-$1 with Transfer-Encoding: $2 and a body of ${#body} bytes"
  http 127.0.2.1 "${PORTS[2]}" "$request" 2 | tr -d '\r' | grep -a '^HTTP\|^Request-Id' |
    sed 's/^/answered /' | tee -a "$RECORD"
}

start_deployment 1 app 1 "$CONFIGURATION"
number=0
for coding in gzip 'chunked, identity' xchunked; do
  number=$((number + 1))
  [ "$TROUBLE" != 0 ] || coding=chunked
  book $number "$coding"
done
sleep 0.5

BROKEN=0
RUNS=0
while read -r line; do
  note "$line"
  RUNS=$((RUNS + 1))
  id=${line#*id=}
  id=${id%% *}
  case $id in
    body-*)
      note "UNASKED: a worker ran $id, which no client sent"
      BROKEN=1
      ;;
    *)
      case $line in *"body=0 "*)
        note "UNASKED: a worker ran $id with its body changed"
        BROKEN=1
        ;;
      esac
      ;;
  esac
done <"$RAN"
[ "$RUNS" -ge 1 ] || [ "$TROUBLE" != 0 ] || cannot_run "no request ran"
note "result: $([ $BROKEN = 1 ] && echo broken || echo held)"
exit $BROKEN
