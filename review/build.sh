#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's own and those in this folder.
# Run it after the build of deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R src/ridgecourse_standins target/review/
cp review/harness.py review/model_engine.py target/review/
PYTHONPATH=target/deps python3 -m compileall -q target/review
PYTHONPATH=target/deps:target/review python3 -c "import harness, model_engine"
