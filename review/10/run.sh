#!/bin/bash
# A job whose cancelling was answered 410 starts seconds later.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/snipelift-entry ] && [ -x target/review-2 ] || exit 2
exec target/review-2 cancel review/10 "${TROUBLE:-1}"
