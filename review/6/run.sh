#!/bin/bash
# Runs the case on loopback. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\([^ "]*\) --config"$/\1/p' deploy/service.toml)
stand_ins=target/review-2/case-$(basename "$(dirname "$(realpath "$0")")")
if [ ! -x "$command" ] || [ ! -x "$stand_ins" ]; then
  echo "not built"
  exit 2
fi
timeout -k 1 118 "$stand_ins" "$command" "$(dirname "$(realpath "$0")")"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
