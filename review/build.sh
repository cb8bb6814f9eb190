#!/bin/sh
# Builds the stand-ins and the cases into review/target. Needs only the JDK; no network.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -d target common/*.java [0-9]*/*.java
