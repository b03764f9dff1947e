#!/bin/bash
# Builds the stand-ins and the clients of the third review's cases.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_probe
