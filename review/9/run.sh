#!/usr/bin/env bash
# Plays the case, after the build of the deploy file and of review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec node target/review-2/latejob.mjs review/9
