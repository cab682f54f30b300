#!/bin/bash
# The stand-ins of cases 9 to 13 are plain modules of Node that need no build; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
shopt -s nullglob
for file in standins-3/*.mjs 9/main.mjs 1[0-3]/main.mjs; do
  node --check "$file" || exit 1
done
