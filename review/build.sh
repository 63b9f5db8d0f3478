#!/bin/sh
# Builds the stand-ins of the cases, from the root of the repository.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 1 2 3; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "target/review/case$n" "./review/$n"
	fi
done
