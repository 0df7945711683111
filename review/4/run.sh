#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/case-4.mjs ] && [ -f target/lacewingstream.cjs ] || exit 2
exec node target/review/case-4.mjs
