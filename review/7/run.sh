#!/bin/bash
# Gangs stand still on idle workers behind a gang that does not fit since a worker has left.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/snipelift-entry ] && [ -x target/review-2 ] || exit 2
exec target/review-2 gangs review/7 "${TROUBLE:-1}"
