#!/bin/bash
# A key is taken away, and is used later than revoke-ms after that.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/15
. review/stand-in-3/lib.sh || exit 2

WORKER=127.0.30.1:${PORTS[6]}
cat >"$WORK/list.json" <<JSON
{"instances":[{"id":"i-1","backend":"till","address":"$WORKER","zone":"zone-1","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"born":1700000000000}],"next":null}
JSON
# write_config VERSION KEYS
write_config() {
  cat >"$WORK/config.json" <<JSON
{"version":$1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/till/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":0,"backend":"till","attempts":1,"allow-anonymous":true},{"name":"r2","host":"app.example","path-prefix":"/desk/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":0,"backend":"till","attempts":1,"allow-anonymous":false}],"backends":[{"name":"till","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"forwarder","api-keys":[$2]}]}
JSON
}
# call ID KEY PREFIX
call() {
  record "$(KEY=$2 "$STANDIN" caller "127.0.20.1:${PORTS[2]}" app.example "/$3/100/10" "$1" 1000000 3000)"
}

: >"$WORK/runs"
start worker1 "$STANDIN" worker "$WORKER" i-1 "$WORK/runs"
write_config 1 '"kept-key","taken-key"'
start_deployment 2
record "keys held: kept-key, taken-key; r1 (/till/) is allow-anonymous, r2 (/desk/) is not"
call held-r1 taken-key till
call held-r2 taken-key desk
LATER=kept-key
if [ "$TROUBLE" != 0 ]; then
  write_config 2 '"kept-key"'
  publish "$WORK/config.json" || cannot_run "the change is not acknowledged"
  record "configuration 2 took taken-key away and is acknowledged; revoke-ms is 5000"
  LATER=taken-key
fi
sleep 7
for i in 1 2 3 4 5; do
  call "later-r1-$i" $LATER till
  call "later-r2-$i" $LATER desk
done
if [ "$TROUBLE" != 0 ]; then
  for i in 1 2 3; do call "unknown-r1-$i" never-held till; done
fi
cat "$WORK/runs" >>"$RECORD"
grep -q "ran held-r1," "$WORK/runs" || cannot_run "requests with a key that is held do not run"
if [ "$TROUBLE" = 0 ]; then
  [ "$(grep -c "ran later-" "$WORK/runs")" = 10 ] || cannot_run "requests with a key that is held do not run"
  exit 0
fi
LATE=$(grep -c "ran later-" "$WORK/runs")
UNKNOWN=$(grep -c "ran unknown-" "$WORK/runs")
record "requests that ran 7 s after the acknowledgement with the key that was taken away: $LATE; with a key that no configuration held: $UNKNOWN"
[ "$LATE" = 0 ] && [ "$UNKNOWN" = 0 ]
