# Functions for the scripts of the cases: a small deployment on loopback, one
# process a machine, with the commands of the deploy file and settings made from
# its templates. Sourced by review/N/run.sh, which sets TROUBLE.

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
case_folder=$(cd "$(dirname "$0")" && pwd)
case_number=$(basename "$case_folder")
work=$(mktemp -d)
pids=()
bootstrap=true
: >"$case_folder/record.txt"

# Ends every process that the script started, and removes its files.
finish() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap finish EXIT

# Ends the script as a case that could not run.
cannot_run() {
  echo "cannot run: $*" | tee -a "$case_folder/record.txt"
  exit 2
}

# Succeeds if nothing accepts connections on an address.
is_free() {
  ! (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null
}

# Chooses a network of loopback addresses, so that each machine has an address of
# its own, and ports that are free there.
choose_network() {
  local attempt
  for attempt in 1 2 3 4 5; do
    network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
    front_port=$((RANDOM % 9000 + 20000))
    ready_port=$((front_port + 5))
    control_port=$((front_port + 10))
    peer_port=$((front_port + 20))
    if is_free "$network.1" "$front_port" && is_free "$network.1" "$peer_port" &&
      is_free "$network.1" "$control_port" && is_free "$network.1" 9464; then
      return
    fi
  done
  cannot_run "no free ports"
}

# The command of a role in the deploy file.
command_of() {
  sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" "$repository/deploy/system.toml"
}

template_of() {
  sed -n "/^\[roles\.$1\]/,/^\[/s/^template = \"\(.*\)\"/\1/p" "$repository/deploy/system.toml"
}

# Starts a machine: its role, its name, its address, its zone.
start_machine() {
  local role=$1 name=$2 ip=$3 zone=$4
  mkdir -p "$work/$name"
  sed -e "s|{{node_name.json}}|\"$name\"|" \
    -e "s|{{zone.json}}|\"$zone\"|" \
    -e "s|{{ip}}|$ip|g" \
    -e "s|{{port_range.0}}|$peer_port|g" \
    -e "s|{{seeds.json}}|$seeds|" \
    -e "s|{{listen.front.json}}|\"$ip:$front_port\"|" \
    -e "s|{{listen.ready.json}}|\"$ip:$ready_port\"|" \
    -e "s|{{listen.control.json}}|\"$ip:$control_port\"|" \
    -e "s|{{data_dir.json}}|\"$work/$name\"|" \
    -e "s|{{bootstrap.json}}|$bootstrap|" \
    -e "s|{{fault_tolerance.machines}}|1|" \
    -e "s|{{bounds.lease_ms}}|3000|" \
    -e "s|{{bounds.grace_s}}|8|" \
    -e "s|{{bounds.status_s}}|120|" \
    "$repository/$(template_of "$role")" >"$work/$name.settings"
  if grep -q '{{' "$work/$name.settings"; then
    cannot_run "a placeholder of the template is unknown here"
  fi
  (
    cd "$repository"
    # shellcheck disable=SC2046
    AUBURNTRESTLE_BOOT="$work/$name.settings" exec $(command_of "$role") \
      >>"$work/$name.log" 2>&1
  ) &
  pids+=($!)
  last_pid=$!
}

# Starts three stores and a number of entry machines, in three zones. Sets
# controls, fronts and entry_pids, and waits until the entry machines listen.
start_deployment() {
  local count=$1 number zone
  [ -x "$repository/target/trestle_node" ] || cannot_run "target/trestle_node is not built"
  [ -x "$repository/target/review/case-$case_number" ] || cannot_run "review/build.sh was not run"
  choose_network
  seeds="[\"$network.1:$control_port\",\"$network.2:$control_port\",\"$network.3:$control_port\"]"
  controls=$network.1:$control_port,$network.2:$control_port,$network.3:$control_port
  fronts=
  entry_pids=()
  for number in 1 2 3; do
    start_machine store "storage-$number" "$network.$number" "zone-$number"
  done
  for number in $(seq "$count"); do
    zone=zone-$(((number - 1) % 3 + 1))
    start_machine entry "edge-$number" "$network.$((10 + number))" "$zone"
    entry_pids+=("$last_pid")
    fronts=$fronts${fronts:+,}$network.$((10 + number)):$front_port
  done
}

# Runs the clients, servers and operator of the case.
run_stand_ins() {
  "$repository/target/review/case-$case_number" \
    --controls "$controls" --fronts "$fronts" --network "$network" \
    --port "$((front_port + 30))" --pids "$(
      IFS=,
      echo "${entry_pids[*]}"
    )" \
    --trouble "$TROUBLE" --record "$case_folder/record.txt"
}

# Runs the case, and exits with its verdict.
run_case() {
  local status=0
  run_stand_ins || status=$?
  tail -n 3 "$case_folder/record.txt"
  exit "$status"
}
