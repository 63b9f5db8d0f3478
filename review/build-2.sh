#!/bin/bash
# Builds the stand-ins and clients of the scripted cases of the second review, target/rig.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig ./review/rig
