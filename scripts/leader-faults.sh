#!/usr/bin/env bash
# Kills (SIGKILL) or pauses (SIGSTOP) the leader of a running quick start cluster, and measures the
# time until the next configuration change is confirmed. Needs the output of
# `scripts/quickstart.sh --stay` in a file:
#
#   leader-faults.sh <output of quickstart.sh --stay> <kills> <pauses>
#
# It ends with the number of accepted changes that the configuration lacks, which must be 0. The
# control processes that it started are ended by their id, so the cluster may lack a quorum then.
set -euo pipefail

session=$1
kills=$2
pauses=$3
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${CARGO_TARGET_DIR:-$root/target}/${PROFILE:-debug}
eval "$(grep '^export SAPPHIREPOST_' "$session")"
dir=$(sed -n 's/^logs and journals: //p' "$session")
declare -A pids=()
for control in 1 2 3; do
  pids[$control]=$(sed -n "s/^control-$control: process //p" "$session")
done
started=()
accepted=()
times=()

# Whether a process is a control process of the session; its id may have been used again.
is_control() { grep -qaF "$dir/control-" "/proc/$1/cmdline" 2>/dev/null; }

end_started() {
  local pid
  for pid in ${started[@]+"${started[@]}"}; do
    if is_control "$pid"; then
      kill "$pid" 2>/dev/null || true
    fi
  done
}
trap end_started EXIT

leader() { "$bin/sapphirepost" control list | sed -n 's/.*:2150\([0-9]\)  *leader.*/\1/p'; }

# Changes a value and adds the time since $1 (in ms) to the times.
change() {
  local since=$1 key=$2
  if "$bin/sapphirepost" config set "$key" 1 --yes >/dev/null; then
    accepted+=("$key")
  else
    echo "$key: not accepted, exit code $?"
  fi
  times+=($(($(date +%s%3N) - since)))
}

for ((round = 1; round <= kills; round++)); do
  control=$(leader)
  pid=${pids[$control]}
  is_control "$pid"
  mapfile -d '' -t command <"/proc/$pid/cmdline"
  since=$(date +%s%3N)
  kill -9 "$pid"
  change "$since" "fault.kill.$round"
  "${command[@]}" >>"$dir/control-$control.log" 2>&1 &
  pids[$control]=$!
  started+=($!)
  disown
  sleep 1.5
done
echo "ms after a kill: $(printf '%s\n' ${times[@]+"${times[@]}"} | sort -n | tr '\n' ' ')"

times=()
for ((round = 1; round <= pauses; round++)); do
  pid=${pids[$(leader)]}
  is_control "$pid"
  since=$(date +%s%3N)
  kill -STOP "$pid"
  change "$since" "fault.pause.$round"
  sleep 1
  kill -CONT "$pid"
  sleep 1.5
done
echo "ms after a pause: $(printf '%s\n' ${times[@]+"${times[@]}"} | sort -n | tr '\n' ' ')"

lost=0
values=$("$bin/sapphirepost" config get)
for key in ${accepted[@]+"${accepted[@]}"}; do
  grep -q "^$key = 1$" <<<"$values" || lost=$((lost + 1))
done
echo "accepted: ${#accepted[@]}, lost: $lost"
[ "$lost" = 0 ]
