# Shell functions for cases in which control VMs are replaced or lose their disks.
# Source this file after platform.sh. CONTROLS lists the VMs that run; VERSION is the
# newest version of the configuration that was sent. The groups are to tolerate the
# loss of LOSSES disks; empty: the setting is left out, for builds that don't know it.
LOSSES=${LOSSES-2}
CONTROL_SETTINGS=${LOSSES:+tolerated_losses = $LOSSES}

# within SECONDS COMMAND...: as wait_until, by the clock.
within() {
  local end=$((${EPOCHREALTIME/./} + $1 * 1000000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "${EPOCHREALTIME/./}" -lt "$end" ] || return 1
    sleep 0.05
  done
}

dump_of() { # NUMBER
  timeout 2 "$BIN/fulmarquay" dump "127.0.1.$1:${PORTS[0]}" --json 2>/dev/null
}

# leading: the number of the replica that leads with a lease.
leading() {
  local i
  for i in "${CONTROLS[@]}"; do
    dump_of $i | grep -q '"role":"leader".*"holds_lease":true' && echo $i && return 0
  done
  return 1
}

# voters: the numbers of the voters as the leader knows them.
voters() {
  local addresses
  addresses=$(for i in "${CONTROLS[@]}"; do echo "127.0.1.$i:${PORTS[0]}"; done)
  FULMARQUAY_CONTROL=$(echo $addresses) timeout 5 "$BIN/fulmarquay" status --json 2>/dev/null |
    grep -o '"vm":"[^"]*","address":"[^"]*","role":"\(leader\|voter\)"' |
    sed 's/"vm":"127\.0\.1\.\([0-9]*\)".*/\1/' | sort -n | tr '\n' ' '
}

# votes_are_live: whether the voters are exactly the VMs that run, and each knows it.
votes_are_live() {
  local i
  [ "$(voters)" = "$(printf '%s\n' "${CONTROLS[@]}" | sort -n | tr '\n' ' ')" ] || return 1
  for i in "${CONTROLS[@]}"; do
    [ "$(dump_of $i | json_field voters)" = ${#CONTROLS[@]} ] || return 1
  done
}

publish_version() { # VERSION
  publish /-/config/put "${ROUTES/\"version\":1/\"version\":$1}"
}

# acknowledge_next: publishes a new version until it is acknowledged.
acknowledge_next() {
  VERSION=$((VERSION + 1))
  check "version $VERSION is acknowledged" within 10 publish_version $VERSION
}

read_back() {
  local i
  for i in "${CONTROLS[@]}"; do
    READ=$(timeout 2 "$BIN/fulmarquay-load" get /-/config/get --entry "127.0.1.$i:${PORTS[1]}") &&
      [ "$(json_field version <<<"$READ")" = $VERSION ] && return 0
  done
  return 1
}

check_read_back() {
  local start=${EPOCHREALTIME/./}
  check "version $VERSION is read back within 15 s" within 15 read_back
  echo "   after $(((${EPOCHREALTIME/./} - start) / 1000)) ms"
}

print_diagnostics() {
  local i
  echo "   voters: $(voters)"
  for i in "${CONTROLS[@]}"; do echo "   $i: $(dump_of $i)"; done
}

# kill_at_once NUMBER...: kills replicas at the same moment.
kill_at_once() {
  local i pids=()
  for i in "$@"; do pids+=("${CONTROL_PID[$i]}"); done
  kill -KILL "${pids[@]}"
  wait "${pids[@]}" 2>/dev/null
  for i in "${pids[@]}"; do untrack "$i"; done
}

lose_disk() { # NUMBER
  rm -rf "$WORK/state$1"
  CONTROL_BOOTSTRAP[$1]=no
}

# others_than NUMBER...: the running replicas without these.
others_than() {
  local i
  for i in "${CONTROLS[@]}"; do
    case " $* " in *" $i "*) ;; *) echo $i ;; esac
  done
}

# replace NUMBER NEW: replaces a VM by a new one. An odd NEW has three seeds that don't
# lead, an even one has the leader among them.
replace() {
  local leader
  kill_at_once $1
  CONTROLS=($(others_than $1))
  within 10 leading || check "a replica leads without VM $1" false
  leader=$(leading)
  if [ $(($2 % 2)) = 1 ]; then
    CONTROL_SEEDS[$2]=$(others_than $leader | head -n 3)
  else
    CONTROL_SEEDS[$2]="$leader $(others_than $leader | head -n 2)"
  fi
  CONTROL_SEEDS[$2]=${CONTROL_SEEDS[$2]//$'\n'/ }
  CONTROL_BOOTSTRAP[$2]=no
  add_platform_control $2
  CONTROLS+=($2)
  check "VM $2 votes in the place of VM $1 (seeds ${CONTROL_SEEDS[$2]}, leader $leader)" \
    within ${REPLACE_LIMIT:-10} votes_are_live
}
