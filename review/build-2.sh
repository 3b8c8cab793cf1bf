#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS="-mod=mod -buildvcs=false" GOPROXY=off GOTOOLCHAIN=local go build -o ../../bin/standin-2 .
