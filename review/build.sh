#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library alone: compiling checks them.
# The pooler itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py */case.py
