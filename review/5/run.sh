#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# The script is also the platform: it ends a process that uses more than its
# machine's memory, and starts it again after a short delay.
set -euo pipefail
# 0: the same without what breaks the rule.
TROUBLE=${TROUBLE:-1}
. "$(dirname "$0")/../lib.sh"

# Megabytes, as the sheet of the site gives them.
store_memory=140
entry_memory=110
restart_delay=1

# Memory that the process itself holds, without the pages of its program file.
memory_of() {
  awk '/^RssAnon/ { print int($2 / 1024) }' "/proc/$1/status" 2>/dev/null || true
}

export MALLOC_ARENA_MAX=1
start_deployment 3
bootstrap=false
declare -A pid_of ends restart_at
for number in 1 2 3; do
  pid_of[storage-$number]=${pids[number - 1]}
  pid_of[edge-$number]=${entry_pids[number - 1]}
  ends[storage-$number]=0
  ends[edge-$number]=0
done

run_stand_ins &
case_pid=$!
pids+=("$case_pid")
while kill -0 "$case_pid" 2>/dev/null; do
  for name in "${!pid_of[@]}"; do
    number=${name##*-}
    pid=${pid_of[$name]}
    if [ "$pid" -eq 0 ]; then
      [ "$SECONDS" -ge "${restart_at[$name]}" ] || continue
      if [[ $name == storage-* ]]; then
        start_machine store "$name" "$network.$number" "zone-$number"
      else
        start_machine entry "$name" "$network.$((10 + number))" "zone-$number"
      fi
      pid_of[$name]=$last_pid
      continue
    fi
    limit=$entry_memory
    [[ $name == storage-* ]] && limit=$store_memory
    used=$(memory_of "$pid")
    if [ -n "$used" ] && [ "$used" -gt "$limit" ]; then
      kill -KILL "$pid"
      wait "$pid" 2>/dev/null || true
      echo "         $name uses $used MB of $limit MB and is ended" >>"$case_folder/record.txt"
      ends[$name]=$((ends[$name] + 1))
      pid_of[$name]=0
      restart_at[$name]=$((SECONDS + restart_delay))
    fi
  done
  sleep 0.05
done
status=0
wait "$case_pid" || status=$?
[ "$status" -eq 0 ] || exit 2

machines=0
for name in "${!ends[@]}"; do
  echo "$name: ended ${ends[$name]} times" >>"$case_folder/record.txt"
  [ "${ends[$name]}" -lt 3 ] || machines=$((machines + 1))
done
verdict="verdict: processes ended three times or more on $machines of ${#ends[@]} machines"
echo "$verdict" | tee -a "$case_folder/record.txt"
[ "$machines" -lt 2 ]
