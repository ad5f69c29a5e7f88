#!/usr/bin/env bash
# Demonstrates the main use case on loopback with 3 control VMs, 2 entries in
# each of 2 places, and 2 stand-in endpoints in each place. It applies one
# document and sends one idempotent and one once-only request through an entry
# that doesn't own the group of endpoints.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin/sassafrasreach
work=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

start() { # NAME ARGS...
  local name=$1
  shift
  "$bin" "$@" 2>"$work/$name.log" &
  pids+=($!)
}

# wait_for TEXT SECONDS COMMAND... repeats the command until it succeeds. After
# the given number of seconds it prints the ends of the logs and fails.
wait_for() {
  local what=$1 limit=$((SECONDS + $2))
  shift 2
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= limit)); then
      echo "demo: timed out waiting for $what; the ends of the logs follow" >&2
      tail -n 5 "$work"/*.log >&2
      exit 1
    fi
    sleep 0.1
  done
}

control_settings() { # N
  cat >"$work/control-$1.yaml" <<YAML
name: control-$1
data_dir: $work/data-$1
peer_listen: 127.0.9.$1:19090
operator_listen: 127.0.9.$1:18090
bootstrap_token_sha256: 7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c
members:
  - {name: control-1, address: "127.0.9.1:19090"}
  - {name: control-2, address: "127.0.9.2:19090"}
  - {name: control-3, address: "127.0.9.3:19090"}
YAML
}

entry_settings() { # PLACE N HOST
  cat >"$work/$1-$2.yaml" <<YAML
name: $1-$2
place: $1
caller_listen: $3:18080
peer_listen: $3:19080
control: ["127.0.9.1:19090", "127.0.9.2:19090", "127.0.9.3:19090"]
seeds: ["127.0.10.1:19080", "127.0.11.1:19080"]
YAML
}

operators=http://127.0.9.1:18090,http://127.0.9.2:18090,http://127.0.9.3:18090
printf 'demo-token' >"$work/token"

for n in 1 2 3; do
  control_settings $n
  start "control-$n" control -settings "$work/control-$n.yaml"
done
for n in 1 2; do
  entry_settings norte-a $n 127.0.10.$n
  entry_settings norte-b $n 127.0.11.$n
  start "norte-a-$n" entry -settings "$work/norte-a-$n.yaml"
  start "norte-b-$n" entry -settings "$work/norte-b-$n.yaml"
done

echo "== apply the document"
wait_for "control quorum" 20 "$bin" ctl status -control "$operators" -token-file "$work/token"
"$bin" ctl apply -control "$operators" -token-file "$work/token" examples/demo.yaml

for n in 1 2; do
  start "endpoint-a-$n" standin -id "belt-a-$n" -service belt-control -place norte-a \
    -listen 127.0.30.$n:17000 -entry 127.0.10.1:18080,127.0.10.2:18080 -leave-for 100ms
  start "endpoint-b-$n" standin -id "belt-b-$n" -service belt-control -place norte-b \
    -listen 127.0.31.$n:17000 -entry 127.0.11.1:18080,127.0.11.2:18080 -leave-for 100ms
done

entries=127.0.10.1:18080,127.0.10.2:18080
echo "== look up the entries of belt-control"
wait_for "entry for belt-control" 20 "$bin" call -entry "$entries" -service belt-control -place norte-a
"$bin" lookup -entry "$entries" -service belt-control -place norte-a

# The look-up lists the owner of the group first. Another entry of the place
# has to forward the request to it.
owner=$("$bin" lookup -entry "$entries" -service belt-control -place norte-a | sed -n 's/.*"name": "\(.*\)".*/\1/p' | head -n 1)
other=norte-a-1
if [ "$owner" = norte-a-1 ]; then other=norte-a-2; fi

echo "== send an idempotent request through $other, while $owner owns the group"
"$bin" call -entry "$entries" -service belt-control -place norte-a -via $other -path /belts/7

echo "== send a once-only request through $other, and resend it with the same key"
first=$("$bin" call -entry "$entries" -service belt-control -place norte-a -via $other -once -method POST -path /belts/7/divert -body bin-3)
echo "$first"
key=$(echo "$first" | sed -n 's/^key *//p')
again=$("$bin" call -entry "$entries" -service belt-control -place norte-a -method POST -path /belts/7/divert -body bin-3 -key "$key")
echo "$again"
if [ "$(echo "$first" | tail -n 1)" != "$(echo "$again" | tail -n 1)" ]; then
  echo "demo: the answer to the resend differs from the first answer" >&2
  exit 1
fi
echo "== done"
