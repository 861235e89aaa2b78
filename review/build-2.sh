#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 from review/src-2 into target/review-2. Run it in the
# repository's root after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/src-2/*.java
