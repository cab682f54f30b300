#!/bin/sh
# The stand-ins of the scripts in review/4 to review/8 run from their sources. This checks that Node can read them.
cd "$(dirname "$0")/parts-2" || exit 1
for file in *.mjs; do
  node --check "$file" || exit 1
done
