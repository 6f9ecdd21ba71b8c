#!/bin/sh
# Checks and compiles the stand-ins of cases 6 to 10. They are all in lib-2 and in the cases' own case.py, and need Python 3.11
# alone; the cases start no other program than `run` of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib-2/rig.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    if [ -f "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
