#!/bin/bash
# Builds what the scripts of review/6 to review/9 start beside the programs of the deploy file. The stand-ins are plain
# modules of Node.js without dependencies, so that nothing is written; this only checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for module in lib-2/*.mjs [6-9]/*.mjs; do
    if [ -e "$module" ]; then
        node --check "$module"
    fi
done
