#!/bin/sh
# Compiles the stand-ins and the cases' drivers to target/review, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
