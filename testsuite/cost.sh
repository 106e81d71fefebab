#!/bin/bash
# Measures the CPU time of an entry per request for several answer and prompt
# lengths, and its resident memory: cost.sh BUILD. Prints one line per run.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
write_standin_settings() {
  local i
  : >"$WORK/standin.ini"
  for i in 1 2; do
    printf '[engine.g%s]\nlisten = 127.0.0.1:%s\nprefill_per_second = 50000000\nslots = 4096\ntoken_interval = 2ms\ncache_pieces = 10000\n' \
      $i "${ENGINE[$i]}" >>"$WORK/standin.ini"
  done
  printf '[store.s1]\nlisten = 127.0.0.1:%s\n[service.till]\nlisten = 127.0.0.1:%s\n' \
    "$STORE" "$TILL" >>"$WORK/standin.ini"
}
start_cluster 1
sed -i 's/tokens_per_second = 1000000/tokens_per_second = 900000000/; s/^model = m$/model = m\nslots = 4096\nprefill_per_second = 50000000/' "$WORK/case.answers"
"$BIN/fulmarquay" submit "$WORK/case.answers" >/dev/null
sleep 1
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
measure() { # RATE PROMPT-TOKENS ANSWER-TOKENS
  local t0 t1 line
  t0=$(ticks "${ENTRY_PID[1]}")
  line=$("$BIN/fulmarquay-load" returning --entry "127.0.0.1:${HTTP[1]}" --key $KEY \
    --rate "$1" --length 5s --seed "$2$3" --conversations 2000 --tokens "$2" --max-tokens "$3")
  t1=$(ticks "${ENTRY_PID[1]}")
  awk -v p="$2" -v a="$3" -v n="$(echo "$line" | json_field requests)" -v f="$(echo "$line" | json_field failed)" \
    -v t=$((t1 - t0)) -v hz="$(getconf CLK_TCK)" -v m="$(resident "${ENTRY_PID[1]}")" 'BEGIN {
    printf "prompt_tokens=%d answer_tokens=%d requests=%d failed=%d entry_us_each=%d entry_rss_kib=%d\n", p, a, n, f, 1e6 * t / hz / n, m }'
}
measure 100 256 8
for answer in 16 128 512; do measure 100 256 $answer; done
for prompt in 1024 8192 16384; do measure 60 $prompt 8; done
