#!/usr/bin/env bash
# Regenerates the committed gRPC code of the proto module. Needed only after a change to a .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
mvn -q -B -N dependency:copy -Dartifact=com.google.protobuf:protoc:4.33.5:exe:linux-x86_64 -DoutputDirectory="$tools"
mvn -q -B -N dependency:copy -Dartifact=io.grpc:protoc-gen-grpc-java:1.83.1:exe:linux-x86_64 -DoutputDirectory="$tools"
chmod +x "$tools"/*.exe
find proto/src/main/java -name '*.java' -delete
"$tools"/protoc-4.33.5-linux-x86_64.exe \
  --plugin=protoc-gen-grpc-java="$tools"/protoc-gen-grpc-java-1.83.1-linux-x86_64.exe \
  --proto_path=proto/src/main/proto --java_out=proto/src/main/java \
  --grpc-java_out=@generated=omit:proto/src/main/java \
  proto/src/main/proto/*.proto
