#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10, after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin/review
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../../bin/review/standin-2 .
