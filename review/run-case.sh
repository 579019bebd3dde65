#!/usr/bin/env bash
# run-case.sh NUMBER CASE: runs a case and writes review/NUMBER/record.txt. Ends with the exit status of the case:
# 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/.."
root="$PWD"
pids="$(mktemp)"
export REVIEW_PIDS="$pids"
end_all() {
  # What is left only if the case itself was ended; each number is that of a process which the case started.
  while read -r pid; do
    case "$(cat "/proc/$pid/comm" 2>/dev/null)" in
      cloverfold* | review_harness*) kill -KILL "$pid" 2>/dev/null ;;
    esac
  done < "$pids"
  # The harness removes its folder itself, unless it was ended.
  [ -z "${case:-}" ] || rm -rf "$(dirname "$pids")/cloverfold-review-$case"
  rm -f "$pids"
}
trap end_all EXIT
trap 'kill -KILL "$case" 2>/dev/null; exit 2' INT TERM
if [ ! -x target/review/release/review_harness ] || [ ! -x target/release/cloverfold ]; then
  echo "build with the command of deploy/system.toml and with review/build.sh first" >&2
  exit 2
fi
target/review/release/review_harness "$2" "$root" "review/$1/record.txt" > /dev/null &
case=$!
wait "$case"
status=$?
[ "$status" -le 2 ] || status=2
tail -n 400 "review/$1/record.txt" | grep -m1 -E 'RULE BROKEN|rule held|could not run'
exit "$status"
