#!/bin/sh
# Runs one case: run-case.sh PROGRAM RECORD. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
program=$1
record=$2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x "target/review-2/$program" ] || [ ! -x target/release/plovershelf-server ]; then
    echo "could not run: build by the deploy file, then review/build-2.sh" >&2
    exit 2
fi
# The command that starts a backend, from the deploy file.
RUN_COMMAND=$(sed -n 's/^run *= *"\(.*\)".*$/\1/p' deploy/balancer.toml)
CASE_TMP=$(mktemp -d) || exit 2
export RUN_COMMAND CASE_TMP
# The program puts itself and all that it starts into one process group, which is ended whatever happens.
"target/review-2/$program" "$record" &
group=$!
trap 'kill -s KILL -- "-$group" 2>/dev/null; rm -rf "$CASE_TMP"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
