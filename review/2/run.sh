#!/bin/bash
# New weights are named for each of the two models that the workers serve. Exits
# with 1 if VERSION is broken. TROUBLE=0: they are named for one model only.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

WORKERS=6
MODELS=model-a,model-b
VERSION_MS=6000
CONFIGURATION='{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/model/","kind":"streaming","timeout-ms":10000,"target-latency-ms":600,"priority":0,"backend":"model","attempts":2,"allow-anonymous":true,"sticky":true,"resumable":true,"target-gap-ms":300}],"backends":[{"name":"model","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":100000,"kv-token-bytes":163840,"link-mbps":260000.0,"models":[{"name":"model-a"},{"name":"model-b"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'

# ask ID MODEL: a prompt; prints the status line of its answer.
ask() {
  local request
  request=$'POST /model/ask HTTP/1.1\r\nHost: app.example\r\n'
  request+=$'Connection: close\r\nContent-Length: 0\r\nDeadline-Ms: 3000\r\n'
  request+="Model: $2"$'\r\nToken-Usage: 900,8\r\n'
  request+="Prompt-Prefix: 5c1e07a2:800,$1:100"$'\r\n'
  request+="Request-Id: $1"$'\r\n\r\n'
  http 127.0.2.1 "${PORTS[2]}" "$request" 4 | head -n 1 | tr -d '\r'
}

# version_at WORKER MODEL: the version that the worker reports.
version_at() {
  http 127.0.3.$1 "${PORTS[4]}" $'GET /-/report HTTP/1.1\r\nHost: w\r\n\r\n' 0.3 |
    tr -d '\r\n' | sed "s/.*\"name\":\"$2\",\"version\":\([0-9]*\).*/\1/"
}

start_deployment 1 model $WORKERS "$CONFIGURATION"
note "sent 0a01 for model-a: $(ask 0a01 model-a)"
note "sent 0a02 for model-b: $(ask 0a02 model-b)"
declare -A NAMED=([model-a]=1 [model-b]=1)
for model in model-a model-b; do
  [ "$TROUBLE" != 0 ] || [ $model = model-a ] || continue
  wait_until 10 order /-/version-put "{\"model\":\"$model\",\"version\":2}" ||
    cannot_run "the version was not acknowledged"
  NAMED[$model]=2
  note "version 2 of $model is acknowledged"
  sleep 1
done

# Three times version-ms; the rule allows one and a half.
sleep $((3 * VERSION_MS / 1000))
i=0
for model in model-a model-b model-a model-b; do
  i=$((i + 1))
  note "sent 0b0$i for $model: $(ask 0b0$i $model)"
done

cat "$RAN" >>"$RECORD"
BROKEN=0
for model in model-a model-b; do
  old=0
  for ((w = 1; w <= WORKERS; w++)); do
    version=$(version_at $w $model)
    note "w$w has version $version of $model"
    [ "$version" -ge "${NAMED[$model]}" ] || old=$((old + 1))
  done
  if [ $old -gt 1 ] && [ $((old * 10)) -gt $WORKERS ]; then
    note "VERSION: $old of $WORKERS workers still have an older version of $model"
    BROKEN=1
  fi
done
note "result: $([ $BROKEN = 1 ] && echo broken || echo held)"
exit $BROKEN
