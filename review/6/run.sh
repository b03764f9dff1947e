#!/bin/bash
# A job that runs many times stops the acknowledgement of all ends.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/snipelift-entry ] && [ -x target/review-2 ] || exit 2
exec target/review-2 scheduled review/6 "${TROUBLE:-1}"
