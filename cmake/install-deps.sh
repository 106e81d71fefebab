#!/bin/sh
# Installs the Debian packages that the build needs and that are missing.
set -eu
packages="g++ make cmake ninja-build libboost-dev libboost-program-options-dev libboost-log-dev libmsgpack-cxx-dev nlohmann-json3-dev libxxhash-dev libcriterion-dev libssl-dev ccache"
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
