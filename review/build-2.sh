#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in foreignworker manyends oddentry latejob; do
  node_modules/.bin/esbuild "review/standins-2/$case.ts" --bundle --platform=node --target=node20 \
    --format=esm --outfile="target/review-2/$case.mjs" --log-level=warning
done
