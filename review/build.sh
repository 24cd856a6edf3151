#!/bin/sh
# The stand-ins of the cases are plain modules for Node.js, so only their syntax is checked. The programs come from the build of
# the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
