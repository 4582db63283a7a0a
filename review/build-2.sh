#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/, beside the build of deploy/system.toml.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top/review/harness-2"
go build -o "$top/target/review-2/harness-2" .
