#!/bin/sh
# Builds the stand-ins and drivers of the scripted cases. Needs the JDK of deploy/system.toml; uses no network.
set -e
cd "$(dirname "$0")"
rm -rf ../target/review
mkdir -p ../target/review
javac -Xlint:all -Xlint:-serial -d ../target/review harness/*.java
