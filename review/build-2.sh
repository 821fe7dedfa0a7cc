#!/bin/sh
# Builds the stand-ins of review 2 into target/review-2, with the tool chain alone: no package, no network.
# The project's own programs that the cases start (plovershelf-server, plovershelf) come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in foreign_result in_doubt_forgotten twice_broken_link stale_leader failed_then_served; do
    if [ -f "review/standins-2/$program.rs" ]; then
        rustc --edition 2021 -O -o "target/review-2/$program" "review/standins-2/$program.rs"
    fi
done
