#!/usr/bin/env bash
# Plays the case on loopback addresses. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x target/release/cyclamenloft-platform ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
exec target/review/standin many-ends review/4
