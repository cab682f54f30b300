# Starts a small system in the background of a shell that reads this file from the folder of the
# repository: `. examples/local/start.sh`. `stop_all` ends it.

LOGS=$(mktemp -d)
PIDS=""

# start NAME PROGRAM ARGUMENT...: its process id is then in a variable such as entry_1.
start() {
  node "dist/$2.js" "${@:3}" > "$LOGS/$1.log" 2>&1 &
  eval "${1//-/_}=$!"
  PIDS="$PIDS $!"
}

# start_entry N, start_sidecar N: a daemon with its settings from this folder.
start_entry() { start "entry-$1" magnoliakeeld --config "examples/local/entry-$1.yaml"; }
start_sidecar() { start "sidecar-$1" magnoliakeeld --config "examples/local/sidecar-$1.yaml"; }

# start_backend N: a stand-in for a backend server with eight slots, beside sidecar N.
start_backend() { start "backend-$1" backend --sidecar "127.0.0.1:8$(($1 + 3))01" --slots 8; }

# until_ready PORT...: waits for processes by their operators' ports.
until_ready() {
  for port in "$@"; do
    curl -s -f -o "$LOGS/ready" --retry 60 --retry-delay 1 --retry-all-errors "http://127.0.0.1:$port/readyz"
  done
}

stop_all() {
  kill $PIDS 2> "$LOGS/kill"
  wait
}

start platform platform --listen 127.0.0.1:2400
for n in 1 2 3; do start_entry "$n"; done
for n in 1 2; do start_sidecar "$n" && start_backend "$n"; done
for port in 8103 8203 8303 8403 8503; do
  curl -s -f -o "$LOGS/up" --retry 60 --retry-delay 1 --retry-all-errors "http://127.0.0.1:$port/healthz"
done
export MAGNOLIAKEEL_STORE=127.0.0.1:2400
export MAGNOLIAKEEL_ENTRY=127.0.0.1:8103,127.0.0.1:8203,127.0.0.1:8303
