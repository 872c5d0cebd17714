#!/bin/sh
# Measures the relay: one entry VM, one engine stand-in, all on loopback.
#   docs/measures/relay.sh hold STREAMS TOKEN_TIME HOLD   processor time a token, memory a stream
#   docs/measures/relay.sh compare WORKERS TOKEN_TIME DURATION   added latency
# Needs the ports 17101 to 17304 free. Builds into a temporary directory.
set -eu
mode=$1 count=$2 token_time=$3 time=$4
dir=$(mktemp -d)
pids=""
trap 'for p in $pids; do kill "$p" 2>/dev/null || true; done; wait; rm -rf "$dir"' EXIT
go build -o "$dir/" ./cmd/...
cd "$dir"
start() { "$@" >>log.txt 2>&1 & pids="$pids $!"; }
sum() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

cat >vms.json <<J
{"vms":[{"id":"e1","kind":"engine","domain":"d","region":"r","address":"127.0.0.1:17201"},
{"id":"n1","kind":"entry","domain":"d","region":"r","address":"127.0.0.1:17303"}]}
J
cat >n.ini <<J
[vm]
id = n1
domain = d
region = r
callers_address = 127.0.0.1:17301
operators_address = 127.0.0.1:17302
peers_address = 127.0.0.1:17303
[platform]
log_url = http://127.0.0.1:17101
vmlist_url = http://127.0.0.1:17102
weightstore_url = http://127.0.0.1:17103
[peers]
secret = relay-measure-secret-relay-measure
[operators]
token_sha256 = $(sum token)
[log]
level = warn
[limits]
queue = 100000
[metrics]
address = 127.0.0.1:17304
J
cat >c.ini <<J
[customer]
name = relay
memory = 480GB
requests_per_second = 100000
burst = 100000
max_queued = 100000
[key "k"]
sha256 = $(sum relay-key)
[model "m"]
checkpoint = m:1
memory = 16GB
max_wait = 120s
J
start ./standin log --listen 127.0.0.1:17101
start ./standin vmlist --listen 127.0.0.1:17102 --file vms.json
start ./standin weightstore --listen 127.0.0.1:17103 --bytes-per-second 64e9
start ./standin engine --listen 127.0.0.1:17201 --memory-bytes 171798691840 --token-time "$token_time" \
	--token-time-per-request 0s --prefill-time 0s --slots 20000 --queue 20000 --disk-bytes-per-second 68e9
start ./bergamotreel serve --config n.ini
sleep 4
./bergamotreel contract publish c.ini --yes -o http://127.0.0.1:17302 -t token >/dev/null
load="./standin load -t 127.0.0.1:17301 -k relay-key -m m"
$load -r 5 -d 6s --tokens 4 >/dev/null # the model is loaded, and the engine known, by its end
uptime
case $mode in
hold) $load --streams "$count" --hold "$time" --tokens 100000 -d 4s -r 1 --metrics 127.0.0.1:17304 --timeout 60s ;;
compare) $load --compare-direct 127.0.0.1:17201 --workers "$count" -d "$time" -r 1 ;;
esac
uptime
