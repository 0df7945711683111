#!/bin/sh
# Builds the scripts of the cases, with the stand-ins that they start. Run in the root of the repository.
set -eu
for script in review/*/case.ts; do
  name=$(basename "$(dirname "$script")")
  node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review/case-$name.mjs" --log-level=warning
done
