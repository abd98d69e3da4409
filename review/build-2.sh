#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# target/review-2: those of this review, one of them the project's store. Needs
# what the build of deploy/system.toml has left in target/, and its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
packages="ck msgpack libmicrohttpd libcurl argtable2 glib-2.0 inih jansson libxxhash"
flags="-std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE $(pkg-config --cflags $packages)"
libraries="$(pkg-config --libs $packages) -lpthread -lm"
includes="-Ilib/base -Ilib/state -Ilib/coordination -Ilib/protocol -Ilib/transport"
archives=()
for layer in transport protocol coordination state base; do
  archives+=("$(find target -name "libmb_$layer.a" | head -n 1)")
done
# shellcheck disable=SC2086
gcc $flags $includes review/standins-2/store.c "${archives[@]}" $libraries -o "$out/standin-store"
# shellcheck disable=SC2086
gcc $flags review/standins-2/site.c $libraries -o "$out/standin-site"
# shellcheck disable=SC2086
gcc $flags review/standins-2/request.c $libraries -o "$out/standin-request"
echo "built into $out"
