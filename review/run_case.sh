#!/bin/bash
# Runs the case of a folder: run_case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
command=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
program=target/review/case-$(basename "$case_folder")
[[ -n $command && -x $program && -x ${command%% *} ]] || exit 2
folder=$(mktemp -d) || exit 2
timeout --signal=KILL 117 "$program" "$command" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[[ $result -le 1 ]] || result=2
exit "$result"
