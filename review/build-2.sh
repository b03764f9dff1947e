#!/bin/bash
# Builds the stand-ins of the second review's cases.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_trial
