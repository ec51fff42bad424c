#!/bin/sh
# Builds the stand-ins of the cases. It needs no network: the module has no dependency.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../bin
go build -o ../../bin/review-standin .
