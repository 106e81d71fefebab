# Functions for review/N/run.sh: a small deployment of the project's programs on
# loopback addresses, with the stand-ins of review/standin for the platform.
# The script that sources this file sets CASE to its folder.
ROOT=$(cd "$CASE/../.." && pwd)
STANDIN=$ROOT/review/build/review-standin
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
RAN=$WORK/ran.txt
TROUBLE=${TROUBLE:-1}
PIDS=()
declare -A CONTROL_PID ENTRY_PID
: >"$RECORD"
: >"$RAN"

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT

note() {
  echo "$*" | tee -a "$RECORD"
}

# cannot_run TEXT: the case could not be played.
cannot_run() {
  note "could not run: $*"
  tail -n 3 "$WORK"/*.log >>"$RECORD" 2>/dev/null
  exit 2
}

# start NAME COMMAND...: runs a command in the background; sets LAST_PID.
start() {
  local name=$1
  shift
  (cd "$ROOT" && exec "$@") >>"$WORK/$name.log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# wait_until SECONDS COMMAND...
wait_until() {
  local end=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# The settings are those of platform/control.ini.in, filled with the bounds of
# faroles-valle.
start_control() { # NUMBER
  cat >"$WORK/control$1.ini" <<INI
[control]
vm = 127.0.1.$1
data_centre = dc1
listen = 127.0.1.$1:${PORTS[0]}
data_folder = $WORK/state$1
bootstrap = yes
seeds = 127.0.1.1:${PORTS[1]} 127.0.1.2:${PORTS[1]} 127.0.1.3:${PORTS[1]}
operator_http = 127.0.1.$1:${PORTS[1]}

[fleet]
vm_list = $LIST
checks_fencing = no
order_takeover_wait = 3000ms
INI
  mkdir -p "$WORK/state$1"
  FULMARQUAY_BOOT=$WORK/control$1.ini start "control$1" target/bin/platform-control
  CONTROL_PID[$1]=$LAST_PID
}

# The settings are those of platform/entry.ini.in.
start_entry() { # NUMBER
  cat >"$WORK/entry$1.ini" <<INI
[entry]
vm = e$1
data_centre = dc1
listen = 127.0.2.$1:${PORTS[0]}
http = 127.0.2.$1:${PORTS[2]}
ready_http = 127.0.2.$1:${PORTS[3]}
relay_http = 127.0.2.$1:${PORTS[5]}
control_seeds = 127.0.1.1:${PORTS[1]} 127.0.1.2:${PORTS[1]} 127.0.1.3:${PORTS[1]}
configuration = routes
heartbeat = 1s
key_revocation = 5000ms
weights_bound = 6000ms
retry_ratio = 0.2
retry_slack = 52
drain_delay = 3s
drain_limit = 8s
descriptors = 4200
INI
  FULMARQUAY_BOOT=$WORK/entry$1.ini start "entry$1" target/bin/platform-entry
  ENTRY_PID[$1]=$LAST_PID
}

# http IP PORT TEXT [SECONDS]: sends raw bytes on a new connection and prints what
# is answered until the connection ends or the time is over.
http() {
  local socket
  exec {socket}<>"/dev/tcp/$1/$2" || return 1
  printf '%s' "$3" >&"$socket"
  timeout "${4:-3}" cat <&"$socket"
  exec {socket}>&-
}

# order TARGET BODY: an order of the operator, sent until a replica acknowledges it.
order() {
  local i answer request
  request="POST $1 HTTP/1.1"$'\r\nHost: control\r\n'
  request+=$'Connection: close\r\nContent-Type: application/json\r\n'
  request+="Content-Length: ${#2}"$'\r\n\r\n'"$2"
  for i in 1 2 3; do
    answer=$(http 127.0.1.$i "${PORTS[1]}" "$request" 2)
    case $answer in "HTTP/1.1 200"*) return 0 ;; esac
  done
  return 1
}

entry_is_ready() { # NUMBER
  local answer
  answer=$(http 127.0.2.$1 "${PORTS[3]}" $'GET /-/ready HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n' 1)
  case $answer in "HTTP/1.1 200"*) return 0 ;; esac
  return 1
}

# start_deployment ENTRIES SERVICE WORKERS CONFIGURATION: the workers have the
# models MODELS and the software SOFTWARE[1..]. If STORE_IP is set, a store is at
# that address, and STORE in the configuration stands for it with its port.
start_deployment() {
  local i workers=()
  [ -x "$STANDIN" ] && [ -x "$ROOT/target/bin/platform-entry" ] ||
    cannot_run "the programs are not built"
  mapfile -t PORTS < <("$STANDIN" free-ports 6)
  [ ${#PORTS[@]} = 6 ] || cannot_run "no free ports"
  LIST=127.0.3.200:${PORTS[4]}
  STORE=${STORE_IP:+$STORE_IP:${PORTS[4]}}
  for ((i = 1; i <= $3; i++)); do
    workers+=("127.0.3.$i:${PORTS[4]}${SOFTWARE[$i]:+=${SOFTWARE[$i]}}")
  done
  start standin "$STANDIN" "$LIST" "$RAN" "$2" "${MODELS:-m}" \
    "${STORE:--}" "${workers[@]}"
  for i in 1 2 3; do
    start_control $i
  done
  for ((i = 1; i <= $1; i++)); do
    start_entry $i
  done
  wait_until 15 order /-/config/put "${4//STORE/$STORE}" || cannot_run "the configuration was not acknowledged"
  for ((i = 1; i <= $1; i++)); do
    wait_until 15 entry_is_ready $i || cannot_run "entry $i did not become ready"
  done
}
