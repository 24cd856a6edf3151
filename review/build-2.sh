#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are plain modules in review/lib-2: there is nothing to compile. Checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/lib-2/*.mjs review/{6,7,8,9,10}/case.mjs; do
	node --check "$module"
done
