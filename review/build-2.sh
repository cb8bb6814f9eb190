#!/bin/sh
# Builds the stand-ins and drivers of the cases of the second review (review/6 and up), with the JDK alone.
set -e
cd "$(dirname "$0")/rig-2"
rm -rf classes
mkdir classes
javac -encoding UTF-8 -d classes src/*.java
