#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -d target/classes src/*.java
