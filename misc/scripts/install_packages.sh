#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

PACKAGES=(g++ cmake ninja-build pkg-config clang-format clang-tidy
  libjsonrpccpp-dev libjsoncpp-dev libcpp-httplib-dev prometheus-cpp-dev
  libgflags-dev libeasyloggingpp-dev libboost-dev libboost-test-dev libinih-dev
  libxxhash-dev libmsgpack-cxx-dev rapidjson-dev librapidcheck-dev libbenchmark-dev libssl-dev)

MISSING=()
for PACKAGE in "${PACKAGES[@]}"; do
  dpkg-query -W -f '${Status}' "$PACKAGE" 2>/dev/null |
    grep -q 'install ok installed' || MISSING+=("$PACKAGE")
done
[ ${#MISSING[@]} -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${MISSING[@]}" >/dev/null
