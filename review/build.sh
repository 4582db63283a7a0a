#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases. The build of deploy/system.toml comes first.
set -eu
cd "$(dirname "$0")"
go build -o ../target/review/ ./harness
