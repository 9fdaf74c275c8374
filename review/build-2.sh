#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 start. Their stand-ins
# (review/harness2) need the standard library alone, and nothing is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PYTHON'
import asyncio
import pathlib
import sys

if sys.version_info < (3, 11):
    raise SystemExit('Python 3.11 or later is needed')
for folder in ('harness2', '6', '7', '8', '9', '10'):
    for path in sorted(pathlib.Path('review', folder).glob('*.py')):
        compile(path.read_text(encoding='utf-8'), str(path), 'exec')
assert asyncio.TaskGroup
PYTHON
