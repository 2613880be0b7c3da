#!/bin/sh
# Builds the stand-ins of the review cases into review/out.
set -e
cd "$(dirname "$0")"
mkdir -p out
for case in late_deregistration resumed_promotion; do
  g++ -std=c++17 -O1 -pthread -Wall -o "out/$case" "standin/$case.cc" standin/cluster.cc \
    standin/relays.cc
done
