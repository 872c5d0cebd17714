#!/usr/bin/env bash
# Measures what one idle entry VM uses, in a fleet of processes on loopback:
#   bash docs/measures/idle.sh VMS ENGINES SECONDS
# It prints the mean and the most over the entry VMs: processor time, bytes read
# and written (all sockets, without TCP's part), resident memory. Ports are from
# BASE_PORT + 1 (default 20000) to BASE_PORT + 4999: two runs need bases apart.
set -euo pipefail
vms=$1 engines=$2 seconds=$3 base=${BASE_PORT:-20000}
cd "$(dirname "$0")/../.."
dir=$(mktemp -d)
go build -o "$dir/" ./cmd/bergamotreel ./cmd/standin
cp docs/examples/trinidad.ini "$dir"
cd "$dir"

backends=() entries=()
trap 'kill "${entries[@]}" 2>/dev/null; sleep 4; kill "${backends[@]}" 2>/dev/null; rm -r "$dir"' EXIT

list() {
	local i comma=
	printf '{"vms":['
	for ((i = 1; i <= engines; i++)); do
		printf '%s{"id":"engine-%d","kind":"engine","address":"127.0.0.1:%d","domain":"d%d"}' \
			"$comma" $i $((base + 1000 + i)) $((i % 3))
		comma=,
	done
	for ((i = 1; i <= vms; i++)); do
		printf ',{"id":"entry-%d","kind":"entry","address":"127.0.0.1:%d","domain":"d%d"}' $i $((base + 4000 + i)) $((i % 3))
	done
	printf ']}'
}

backend() {
	./standin "$@" 2>/dev/null &
	backends+=($!)
}

entry() {
	cat >"entry-$1.ini" <<-EOF
		[vm]
		id = entry-$1
		domain = d$(($1 % 3))
		callers_address = 127.0.0.1:$((base + 2000 + $1))
		operators_address = 127.0.0.1:$((base + 3000 + $1))
		peers_address = 127.0.0.1:$((base + 4000 + $1))
		[platform]
		log_url = http://127.0.0.1:$((base + 1))
		vmlist_url = http://127.0.0.1:$((base + 2))
		weightstore_url = http://127.0.0.1:$((base + 3))
		[peers]
		secret_file = secret
		[operators]
		token_sha256 = $(sha256sum <token | cut -d' ' -f1)
	EOF
	./bergamotreel serve --config "entry-$1.ini" 2>"entry-$1.log" &
	entries+=($!)
}

# used prints ticks of processor time, bytes and resident kB of each entry VM.
used() {
	local p
	for p in "${entries[@]}"; do
		echo "$(awk '{print $14+$15}' /proc/$p/stat)" "$(awk '/rchar|wchar/{s+=$2} END{print s}' /proc/$p/io)" \
			"$(awk '/VmRSS/{print $2}' /proc/$p/status)"
	done
}

list >vms.json
printf token >token
head -c 32 /dev/urandom | base64 >secret
backend log --listen 127.0.0.1:$((base + 1))
backend vmlist --listen 127.0.0.1:$((base + 2)) --file vms.json
backend weightstore --listen 127.0.0.1:$((base + 3))
for ((i = 1; i <= engines; i++)); do
	backend engine --listen 127.0.0.1:$((base + 1000 + i)) --weight-store http://127.0.0.1:$((base + 3)) --checks-tokens
done
for ((i = 1; i <= vms; i++)); do entry $i; done
sleep 8
./bergamotreel contract publish -yes -operators http://127.0.0.1:$((base + 3001)) -token-file token trinidad.ini | tail -1 || true # 3: not seen in force everywhere
sleep 12
used >before
sleep "$seconds"
used >after
uptime
paste before after | awk -v s="$seconds" -v hz="$(getconf CLK_TCK)" '
	{c = ($4-$1)/s/hz*100; b = ($5-$2)/s/1000; cs += c; bs += b; rs += $6/1024; cm = c>cm?c:cm; bm = b>bm?b:bm}
	END {printf "processor %.2f%% of a core (most %.2f), %.1f KB/s (most %.1f), %.1f MB resident\n", cs/NR, cm, bs/NR, bm, rs/NR}'
