#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/6 ] && [ -x target/bramley-fleetd ] || exit 2
exec target/review-2/6 review/6/record.txt
