#!/usr/bin/env bash
# Lays the kit's companion files beside each variant of a site (deploy/sites/README.md); they stay out of the repository.
# usage: deploy/sites/lay.sh KIT/sites
set -eu
from=${1:?usage: deploy/sites/lay.sh KIT/sites}
cd "$(dirname "$0")"
for variant in */; do
    for file in real.json wire.json unlock.txt; do
        install -m 644 "$from/$file" "$variant$file"
    done
done
