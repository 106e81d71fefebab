#!/bin/bash
# Workers of one software version break off some of their streams; clients take these
# up again. Exits with 1 if LOST is broken. TROUBLE=0: no worker breaks one off.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

SECONDS_OF_TRAFFIC=4
RATE=250
SOFTWARE=("" v1 v1 v2 v2)
CONFIGURATION='{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/model/","kind":"streaming","timeout-ms":8000,"target-latency-ms":600,"priority":0,"backend":"model","attempts":2,"allow-anonymous":true,"sticky":true,"resumable":true,"target-gap-ms":300}],"backends":[{"name":"model","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":100000,"kv-token-bytes":163840,"link-mbps":260000.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'
[ "$TROUBLE" = 0 ] || export BREAK_EVERY=20
start_deployment 2 model 4 "$CONFIGURATION"
sleep 6 # both versions are known everywhere
RESULT=$("$ROOT/review/build/review-streams" $SECONDS_OF_TRAFFIC $RATE \
  "127.0.2.1:${PORTS[2]}" "127.0.2.2:${PORTS[2]}")
note "$RESULT"
eval "$(tr ' ' ';' <<<"$RESULT")"
[ "${sent:-0}" -gt 0 ] || cannot_run "no stream was sent"
BROKEN=0
# Share that goes on under half of the share of new streams that begin.
if [ "$taken_up" -ge 12 ] && [ $((continued * 2 * sent)) -lt $((begun * taken_up)) ]; then
  note "LOST: $continued of $taken_up streams that were taken up went on; $begun of $sent new ones began"
  BROKEN=1
fi
note "result: $([ $BROKEN = 1 ] && echo broken || echo held)"
exit $BROKEN
