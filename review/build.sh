#!/bin/sh
# Builds the scripts of the cases, each with the stand-ins that it starts. Needs the packages of the project.
set -eu
cd "$(dirname "$0")/.."
for script in review/*/case.ts; do
  name=$(basename "$(dirname "$script")")
  node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review/case-$name.mjs" --log-level=warning
done
