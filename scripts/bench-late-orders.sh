#!/bin/sh
# Plays orders whose answers are lost with this tree's scheduler and with that of
# an earlier revision: bench-late-orders.sh REVISION
set -eu
cd "$(dirname "$0")/.."
base=$1
tree=build/late-orders-base
rm -rf "$tree"
mkdir -p "$tree"
git archive "$base" | tar -x -C "$tree"
cp bench/*.h bench/*.c "$tree/bench/"
# Before starts were sent again, an order did not say how long to wait.
sed -i 's/order->answer_ms/0/' "$tree/bench/bench_late_orders.c"
make -s -j8 build/bench/bench_late_orders >/dev/null
make -s -j8 -C "$tree" build/bench/bench_late_orders >/dev/null
"$tree/build/bench/bench_late_orders" | sed -n "s/^lost=/revision=$base lost=/p"
build/bench/bench_late_orders | sed 's/^lost=/revision=this lost=/'
