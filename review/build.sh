#!/bin/sh
# The stand-ins are plain JavaScript and are run as they are; this checks that Node can read them.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs */case.mjs; do node --check "$file"; done
