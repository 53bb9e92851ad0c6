#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They need nothing but the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
JAVA_HOME=$(tools/java-home)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn --release 21 -d target/review-2 review/standins-2/review2/*.java
