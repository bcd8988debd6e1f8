#!/bin/sh
# Plays the scenario "pending" of review/standin-3; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/standin pending review/14/record.txt
