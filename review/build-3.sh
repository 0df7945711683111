#!/bin/sh
# Builds the scripts of review/11 to review/15 with their stand-ins. The program is built as the deploy file says.
cd "$(dirname "$0")/.." || exit 2
set -e
for folder in review/1[1-5]; do
  [ -e "$folder/case.ts" ] || continue
  node_modules/.bin/esbuild "$folder/case.ts" --bundle --platform=node --target=node20 --format=cjs \
    --outfile="target/review-3/$(basename "$folder").cjs" --log-level=warning
done
