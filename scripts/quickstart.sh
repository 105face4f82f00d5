#!/usr/bin/env bash
# A first session on loopback: 3 failure domains, 6 entries, 3 control processes, stand-in workers
# and upstreams. Each step prints its result; the last line is "quickstart: ok". All processes are
# ended by their id, also on failure. With SAPPHIREPOST_BIN the programs are taken from there
# instead of being built. SAPPHIREPOST_QUICKSTART_IP selects another loopback address than
# 127.0.0.1, so that two sessions can run at a time.
#
# quickstart.sh --stay starts the cluster, prints how to reach it, and runs until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

ip=${SAPPHIREPOST_QUICKSTART_IP:-127.0.0.1}
domains=(a b c)
entries=(1 2 3 4 5 6)
controls=(1 2 3)
declare -A pids=()
dir=$(mktemp -d)
keep_dir=yes

callers() { echo "$ip:$((21000 + $1))"; }
workers() { echo "$ip:$((21100 + $1))"; }
operators() { echo "$ip:$((21200 + $1))"; }
entry_admin() { echo "$ip:$((21300 + $1))"; }
entry_inner() { echo "$ip:$((21400 + $1))"; }
control_inner() { echo "$ip:$((21500 + $1))"; }
control_admin() { echo "$ip:$((21600 + $1))"; }
entry_domain() { echo "${domains[$((($1 - 1) / 2))]}"; }

join() {
  local IFS=,
  echo "$*"
}

step() { echo; echo "== $*"; }

fail() {
  echo "quickstart: failed: $*" >&2
  echo "logs: $dir" >&2
  exit 1
}

# Whether a process is still a child of this shell; its id may have been used again since it ended.
is_running() { [ "$(sed 's/.*) //' "/proc/$1/stat" 2>/dev/null | cut -d ' ' -f 2)" = $$ ]; }

# Sends a signal to every process of this session and waits until all have ended. The shell's
# reports of killed jobs go to /dev/null.
end_all() {
  local signal=$1 name pid
  for name in "${!pids[@]}"; do
    pid=${pids[$name]}
    if is_running "$pid"; then
      kill "-$signal" "$pid" || true
    fi
  done
  for name in "${!pids[@]}"; do
    pid=${pids[$name]}
    for _ in $(seq 100); do
      is_running "$pid" || break
      sleep 0.1
    done
    if is_running "$pid"; then
      echo "process $pid ($name) did not end by itself"
      kill -9 "$pid" || true
    fi
    wait "$pid" || true
    unset "pids[$name]"
  done
} 2>/dev/null

clean_up() {
  local status=$?
  trap - EXIT
  end_all TERM
  if [ "$status" = 0 ] && [ "$keep_dir" = no ]; then
    rm -r "$dir"
    echo "quickstart: ok"
  fi
  exit "$status"
}
trap clean_up EXIT
trap 'exit 130' INT TERM

# Starts a process in the background under a name; its log goes to <name>.log.
start() {
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

# Fails as soon as a process has ended by itself, for instance because its port is in use.
check_running() {
  local name
  for name in "${!pids[@]}"; do
    is_running "${pids[$name]}" || fail "$name has ended: $(tail -n 1 "$dir/$name.log")"
  done
}

# Repeats a check until it succeeds.
wait_for() {
  local what=$1 seconds=$2
  shift 2
  for _ in $(seq $((seconds * 10))); do
    if "$@" >/dev/null 2>&1; then
      echo "$what"
      return
    fi
    check_running
    sleep 0.1
  done
  fail "not within $seconds s: $what"
}

# Runs a command line through the operator listener of one entry.
operate() {
  local entry=$1
  shift
  SAPPHIREPOST_ENTRIES=$(operators "$entry") SAPPHIREPOST_KEY_FILE=$dir/operator.key \
    "$bin/sapphirepost" "$@"
}

show() {
  local entry=$1
  shift
  echo "\$ sapphirepost $*"
  operate "$entry" "$@"
}

# Shows the plan of a change, and confirms it through another entry.
show_and_confirm() {
  local entry=$1 other=$2 output plan
  shift 2
  output=$(show "$entry" "$@")
  echo "$output"
  plan=$(awk '/^confirm with:/ {print $NF}' <<<"$output")
  show "$other" confirm "$plan"
}

# Sends one HTTP request: address, method, path, body and header lines. Prints the response.
http() {
  local address=$1 method=$2 path=$3 body=$4 header
  shift 4
  exec 3<>"/dev/tcp/${address%:*}/${address##*:}"
  {
    printf '%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n' "$method" "$path" "$address"
    for header in "$@"; do printf '%s\r\n' "$header"; done
    printf 'content-length: %s\r\n\r\n%s' "${#body}" "$body"
  } >&3
  timeout 10 cat <&3 | tr -d '\r'
  exec 3>&-
}

is_ready() { http "$1" GET /readyz "" | head -n 1 | grep -q ' 200 '; }

# A column of the row of a job or a worker in the status tables.
status_of() { operate 1 status | awk -v name="$1" -v column="$2" '$1 == name {print $column}'; }
has_status() { [ "$(status_of "$1" "$2")" = "$3" ]; }
connected_workers() { operate 1 status | awk '$1 ~ /^worker-/ && !/no contact/' | wc -l; }
has_workers() { [ "$(connected_workers)" = "$1" ]; }

# The command of a control process, in the array `command`.
set_control_command() {
  local control=$1
  command=("$bin/sapphirepost-control" --data-dir "$dir/control-$control"
    --inner-address "$(control_inner "$control")" --admin-address "$(control_admin "$control")"
    --inner-key-file "$dir/inner.key" --bootstrap "$founders")
}

start_cluster() {
  local control entry domain
  for control in "${controls[@]}"; do
    set_control_command "$control"
    start "control-$control" "${command[@]}"
  done
  for entry in "${entries[@]}"; do
    start "entry-$entry" "$bin/sapphirepost-entry" --entry "entry$entry" --roster "$roster" \
      --control "$(join $(for c in "${controls[@]}"; do control_inner "$c"; done))" \
      --callers-address "$(callers "$entry")" --workers-address "$(workers "$entry")" \
      --operators-address "$(operators "$entry")" --admin-address "$(entry_admin "$entry")" \
      --inner-key-file "$dir/inner.key" --workers-key-file "$dir/workers.key" \
      --operator-key-file "$dir/operator.key"
  done
  for domain in "${domains[@]}"; do
    start "workers-$domain" "$bin/sapphirepost-standin" worker --entries "$workers_addresses" \
      --key-file "$dir/workers.key" --name "worker-$domain" --failure-domain "$domain" \
      --count 3 --rack-size 2 --capacity 8000m/16384Mi/0a --journal "$dir/tasks.journal"
    start "upstreams-$domain" "$bin/sapphirepost-standin" upstream --entries "$workers_addresses" \
      --key-file "$dir/workers.key" --name "logbook-$domain" --service logbook \
      --failure-domain "$domain" --count 2 --journal "$dir/requests.journal"
  done
  for control in "${controls[@]}"; do
    wait_for "control process $control is ready" 20 is_ready "$(control_admin "$control")"
  done
  for entry in "${entries[@]}"; do
    wait_for "entry $entry is ready" 20 is_ready "$(entry_admin "$entry")"
  done
  wait_for "9 workers are connected" 20 has_workers 9
}

# Sends a request to one entry; prints the body, then status and outcome.
request() {
  local entry=$1 method=$2 path=$3 body=$4
  shift 4
  http "$(callers "$entry")" "$method" "$path" "$body" "$@" | awk '
    NR == 1 {status = $2}
    !in_body && tolower($1) == "sapphirepost-outcome:" {outcome = $2}
    in_body {print}
    /^$/ {in_body = 1}
    END {print status, outcome}'
}

is_answered() { [ "$(request "$@" | tail -n 1)" = "200 done" ]; }

# How often a request ran, according to the upstreams.
runs_of() { grep -c "\"request\":\"$1\"" "$dir/requests.journal" || true; }

step "build"
if [ -n "${SAPPHIREPOST_BIN:-}" ]; then
  bin=$SAPPHIREPOST_BIN
else
  cargo build -q -p sapphirepost -p sapphirepost-control -p sapphirepost-entry \
    -p sapphirepost-standin
  bin=${CARGO_TARGET_DIR:-target}/debug
fi
bin=$(cd "$bin" && pwd)
echo "programs built"

step "keys and identities"
for role in inner workers operator; do
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/$role.key"
done
members=()
founders=member1@$ip:1
for control in "${controls[@]}"; do
  set_control_command "$control"
  members+=("$("${command[@]}" --init)@$(control_inner "$control")")
done
founders=$(join "${members[@]}")
roster=$(join $(for e in "${entries[@]}"; do
  echo "entry$e@$(entry_domain "$e")=$(entry_inner "$e")"
done))
workers_addresses=$(join $(for e in "${entries[@]}"; do workers "$e"; done))
echo "first voters: $founders"

step "start 3 control processes, 6 entries, 9 workers and 6 upstreams"
start_cluster
show 4 control list

if [ "${1:-}" = --stay ]; then
  step "the cluster runs until interrupted"
  echo "export SAPPHIREPOST_ENTRIES=$(join $(for e in "${entries[@]}"; do operators "$e"; done))"
  echo "export SAPPHIREPOST_KEY_FILE=$dir/operator.key"
  echo "callers: $(join $(for e in "${entries[@]}"; do callers "$e"; done))"
  echo "logs and journals: $dir"
  for name in "${!pids[@]}"; do echo "$name: process ${pids[$name]}"; done | sort
  while sleep 1; do :; done
fi

step "a service of 6 tasks"
show_and_confirm 1 4 run service web --team front --tasks 6 --resources 1000m/1024Mi
wait_for "6 tasks of web run" 20 has_status web 5 6

step "a batch of 4 tasks"
show_and_confirm 2 5 run batch nightly --team data --tasks 4 --resources 500m/256Mi \
  --run-time 1s --deadline 1h --payload run_ms=1000
wait_for "4 tasks of nightly have finished" 20 has_status nightly 9 4

step "a gang of 5 tasks"
show_and_confirm 3 6 run gang train --team lab --tasks 5 --resources 1000m/512Mi --run-time 2s
wait_for "5 tasks of train have finished" 20 has_status train 9 5

step "drain a worker"
worker=$(operate 1 status | awk '$1 ~ /^worker-/ && $6 > 0 {print $1; exit}')
show_and_confirm 4 1 drain "$worker"
wait_for "$worker has no tasks" 30 has_status "$worker" 6 0
wait_for "6 tasks of web run" 30 has_status web 5 6
show 5 status

step "a lookup through two entries"
for entry in 1 6; do
  wait_for "entry $entry answers" 10 is_answered "$entry" GET /logbook/ascents/7 ""
  request "$entry" GET /logbook/ascents/7 "" 'sapphirepost-class: lookup'
done

step "a non-idempotent request, and its resend at an entry of another failure domain"
id="$(date +%s%3N)-ascent-7"
ascent=(POST /logbook/ascents '{"route":"7a"}' 'content-type: application/json'
  "sapphirepost-request-id: $id")
first=$(request 2 "${ascent[@]}")
echo "$first"
again=$(request 5 "${ascent[@]}")
echo "$again"
[ "$first" = "$again" ] || fail "the resend got another answer"
runs=$(runs_of "$id")
[ "$runs" = 1 ] || fail "the request ran $runs times"
echo "the request ran once"

step "a configuration change, waiting until every entry applies it"
show 3 config set standings.season 2026 --yes --wait

step "kill -9 of every process, and restart"
end_all KILL
echo "all processes are gone"
start_cluster
show 6 config get
show 1 config history
wait_for "6 tasks of web run" 60 has_status web 5 6
show 2 status
again=$(request 3 "${ascent[@]}")
echo "$again"
[ "$first" = "$again" ] || fail "the resend after the restart got another answer"
runs=$(runs_of "$id")
[ "$runs" = 1 ] || fail "the request ran $runs times"
echo "the request still ran only once"

step "stop"
end_all TERM
echo "all processes have ended"

step "check the journals of workers and upstreams"
"$bin/sapphirepost-standin" check "$dir/tasks.journal" "$dir/requests.journal"
keep_dir=no
