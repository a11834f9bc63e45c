#!/bin/bash
# Builds the stand-ins of the cases 4 to 8, from their sources alone, with the JDK that the deploy file asks for.
# To be run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
classes=target/review-2
rm -rf "$classes"
mkdir -p "$classes"
sources=()
for folder in review/4 review/5 review/6 review/7 review/8; do
    if [[ -d $folder ]]; then
        while IFS= read -r source; do
            sources+=("$source")
        done < <(find "$folder" -name '*.java' | sort)
    fi
done
javac -Xlint:all -d "$classes" "${sources[@]}"
