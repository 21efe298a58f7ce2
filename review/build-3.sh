#!/bin/sh
# Builds the stand-ins of the scripts of cases 11 to 15. They are plain modules for Node.js without dependencies, so there is
# nothing to compile: this checks that they can be read. The hosts are built by the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file"
done
