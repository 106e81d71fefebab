#!/bin/bash
# Account keys of callers, in real processes: kept connections, both entries, safe and
# unsafe routes, spellings of the header. Guards against requests with a revoked or an
# unknown key that run on routes that need no key.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
# key_routes VERSION ACCOUNTS: `safe` and `once` need no key, `desk` needs one.
key_routes() {
  local route routes=""
  for route in safe:safe:true once:unsafe:true desk:unsafe:false; do
    IFS=: read -r name kind open <<<"$route"
    routes="$routes,{\"name\":\"$name\",\"host\":\"app.example\",\"path-prefix\":\"/$name/\",\"kind\":\"$kind\",\"timeout-ms\":1000,\"target-latency-ms\":300,\"priority\":0,\"backend\":\"app\",\"attempts\":1,\"allow-anonymous\":$open}"
  done
  echo "{\"version\":$1,\"routes\":[${routes#,}],\"backends\":[{\"name\":\"app\",\"health-check\":\"/healthz\",\"max-connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}$2}"
}
ROUTES=$(key_routes 1 ',"tenants":[{"name":"acc","api-keys":["kept","taken"]}]')
start_platform 2 1

# open_connection ENTRY: keeps a connection in the descriptor CONNECTION.
open_connection() {
  local address=${ENTRY[$1]}
  exec {CONNECTION}<>"/dev/tcp/${address%:*}/${address#*:}"
}
close_connection() { exec {CONNECTION}>&-; }

# status_on_connection ROUTE HEADER...: sends a request on CONNECTION and stores its
# status in STATUS.
REQUESTS=0
status_on_connection() {
  local route=$1 line length=0 request
  shift
  REQUESTS=$((REQUESTS + 1))
  request="POST /$route/x HTTP/1.1"$'\r\n'"Host: app.example"$'\r\n'"Request-Id: r$REQUESTS"$'\r\n'
  request="${request}Deadline-Ms: 1000"$'\r\n'"Content-Length: 0"$'\r\n'
  for line in "$@"; do request="$request$line"$'\r\n'; done
  printf '%s\r\n' "$request" >&"$CONNECTION"
  STATUS=none
  IFS=' ' read -r -t 3 -u "$CONNECTION" line STATUS line
  while IFS= read -r -t 3 -u "$CONNECTION" line && [ "$line" != $'\r' ]; do
    line=${line%$'\r'}
    case ${line,,} in content-length:*) length=${line#*: } ;; esac
  done
  [ "$length" = 0 ] || read -r -t 3 -N "$length" -u "$CONNECTION" line
}

# expect TEXT STATUS ENTRY ROUTE HEADER...: a request on a connection of its own.
expect() {
  local text=$1 expected=$2 entry=$3
  shift 3
  open_connection "$entry"
  status_on_connection "$@"
  close_connection
  check "$text, entry $entry, /$1/: $expected ($STATUS)" [ "$STATUS" = "$expected" ]
}

# in_force STATUS: whether both entries answer a request with the key `taken` so.
in_force() {
  local entry
  for entry in 1 2; do
    open_connection $entry
    status_on_connection desk "Authorization: Token taken"
    close_connection
    [ "$STATUS" = "$1" ] || return 1
  done
}

# change_accounts VERSION ACCOUNTS STATUS: publishes a document and waits until
# requests with the key `taken` are answered so on the route that needs one.
change_accounts() {
  ROUTES=$(key_routes "$1" "$2")
  check "document $1 is published" wait_until 10 publish_routes
  check "document $1 is in force" wait_until 5 in_force "$3"
}

for entry in 1 2; do
  for route in safe once desk; do
    expect "a held key" 200 $entry $route "Authorization: Token taken"
  done
  expect "no key" 200 $entry safe
  expect "no key" 401 $entry desk
done

open_connection 1
KEPT=$CONNECTION
status_on_connection once "Authorization: Token taken"
check "the kept connection serves the key ($STATUS)" [ "$STATUS" = 200 ]
change_accounts 2 ',"tenants":[{"name":"acc","api-keys":["kept"]}]' 401
CONNECTION=$KEPT
status_on_connection once "Authorization: Token taken"
check "the kept connection refuses the revoked key ($STATUS)" [ "$STATUS" = 401 ]
status_on_connection once "Authorization: Token kept"
check "the kept connection serves another key ($STATUS)" [ "$STATUS" = 200 ]
close_connection
for entry in 1 2; do
  for route in safe once desk; do
    expect "a revoked key" 401 $entry $route "Authorization: Token taken"
    expect "a key that nobody held" 401 $entry $route "Authorization: Token other"
    expect "another key of the account" 200 $entry $route "Authorization: Token kept"
  done
  expect "the header in lower case" 401 $entry once "authorization: Token taken"
  expect "the scheme in lower case" 401 $entry once "Authorization: token taken"
  expect "the scheme in lower case, held" 200 $entry once "Authorization: token  kept"
  expect "a second header" 401 $entry once "Authorization: Basic eDp5" "Authorization: Token taken"
  expect "two keys" 400 $entry once "Authorization: Token kept" "Authorization: Token taken"
  expect "no key" 200 $entry once
done

change_accounts 3 ',"tenants":[]' 401
expect "a document with no accounts" 401 1 once "Authorization: Token kept"
expect "a document with no accounts, no key" 200 1 once
change_accounts 4 '' 401
expect "a document without the list" 401 1 once "Authorization: Token kept"
expect "a document without the list, no key" 200 1 desk
change_accounts 5 ',"tenants":[{"name":"acc","api-keys":["kept","taken"]}]' 200
expect "a key that is back" 200 2 once "Authorization: Token taken"
check "the log names the revision that refused a key" \
  grep -q 'name=RequestRefused .*reason="unknown key".*key_state="unknown" key_revision="2"' \
  "$WORK/entry1.log"
finish_case
