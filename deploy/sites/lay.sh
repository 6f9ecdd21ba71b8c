#!/usr/bin/env bash
# Copies the kit's companion files into each site variant's folder (see deploy/sites/README.md). They are ignored by git.
# usage: deploy/sites/lay.sh KIT/sites
set -eu
from=${1:?usage: deploy/sites/lay.sh KIT/sites}
cd "$(dirname "$0")"
for variant in */; do
    for file in real.json wire.json unlock.txt; do
        install -m 644 "$from/$file" "$variant$file"
    done
done
