#!/bin/sh
# Builds the stand-ins that the scripts in 4/ to 6/ start, into target/review-2/.
# Run it at the root of the repository, after the build of the deploy file.
set -e
rm -rf target/review-2
mkdir -p target/review-2
cp -R src/ridgecourse_standins review/small_site.py target/review-2/
python3 -m compileall -q target/review-2
