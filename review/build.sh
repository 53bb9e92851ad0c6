#!/usr/bin/env bash
# Compiles the stand-ins of all scripts into target/review. Run after the build of the deploy file,
# from whose libraries it takes the JSON parser. Needs no network.
set -euo pipefail

cd "$(dirname "$0")/.."
JAVA_HOME=$(tools/java-home)
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review -cp 'target/deployment/lib/*' review/standins/*.java
