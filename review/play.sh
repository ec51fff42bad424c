#!/bin/sh
# Plays a case: play.sh N. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
case=$1
[ -x bin/review-standin ] || { echo "bin/review-standin is missing: run review/build.sh" >&2; exit 2; }
# The command that starts a router, as the deploy file has it.
ROUTER_RUN=$(sed -n 's/^run = "\(.*\)"   #.*$/\1/p' deploy/balancer.toml)
[ -n "$ROUTER_RUN" ] || { echo "deploy/balancer.toml names no run" >&2; exit 2; }
export ROUTER_RUN
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 bin/review-standin "case$case" "review/$case/record.txt" "$folder"
code=$?
if [ -f "$folder/router.log" ]; then
	echo "--- the router's log" >> "review/$case/record.txt"
	grep -v '"level":"info"' "$folder/router.log" | tail -n 50 >> "review/$case/record.txt"
fi
case $code in 0 | 1) exit $code ;; esac
exit 2
