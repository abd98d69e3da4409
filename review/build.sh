#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into
# target/review/, after the build of deploy/system.toml. Needs what that build
# needs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
deps="ck msgpack libmicrohttpd libcurl argtable2 glib-2.0 inih jansson libxxhash"
flags="-std=gnu11 -O2 -D_GNU_SOURCE -Wall -Wextra"
includes="-Ilib/base -Ilib/state -Ilib/coordination -Ilib/protocol -Ilib/transport"
libraries="target/libmb_transport.a target/libmb_protocol.a target/libmb_coordination.a
  target/libmb_state.a target/libmb_base.a"

# Compiles one program: build NAME SOURCE.
build() {
  # shellcheck disable=SC2046,SC2086
  gcc $flags $includes $(pkg-config --cflags $deps) -o "$out/$1" "$2" \
    $libraries $(pkg-config --libs $deps) -lpthread -lm
}
build standin-store tests/standins/store.c
build review-executor review/lib/executor.c
build review-client review/lib/client.c
build review-front review/lib/front.c
echo "built into $out"
