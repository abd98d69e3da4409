#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, with the
# libraries that the build line of the deploy file has made, and those of the
# second review, which review/15 starts. Run it in the repository, after that
# build.
set -euo pipefail
cd "$(dirname "$0")/.."
bash review/build-2.sh
out=target/review-3
mkdir -p "$out"
deps="libmicrohttpd libcurl glib-2.0 jansson msgpack libxxhash ck inih"
includes="-Ilib/base -Ilib/state -Ilib/coordination -Ilib/protocol -Ilib/transport -Iplatform"
libs="target/libmb_transport.a target/libmb_protocol.a target/libmb_coordination.a target/libmb_state.a target/libmb_base.a"
# build SOURCE NAME
build() {
  # shellcheck disable=SC2086,SC2046
  cc -std=gnu11 -O2 -g -D_GNU_SOURCE -Wall -Wextra -o "$out/$2" "$1" $includes \
    $(pkg-config --cflags $deps) $libs $(pkg-config --libs $deps) -lpthread -lm
}
build tests/standins/store.c store
for source in review/standins-3/*.c; do
  build "$source" "$(basename "$source" .c)"
done
echo "built: $(ls "$out" | tr '\n' ' ')"
