#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the freezes; the case reads it by has_trouble().
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=target/deps:target/review
python3 -c "import harness, model_engine" || exit 2
exec python3 review/3/case.py
