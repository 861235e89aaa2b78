#!/usr/bin/env bash
# Formats all Kotlin sources, or those of the given modules: scripts/format.sh core,gateway
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B com.github.gantsign.maven:ktlint-maven-plugin:3.5.0:format ${1:+-pl "$1"}
