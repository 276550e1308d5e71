#!/usr/bin/env bash
# Plots late, refused and failed requests per second from collected log lines.
# Needs gnuplot (Debian package gnuplot-nox).
#
#     scripts/plot_losses.sh LINES OUTPUT.svg [BUILD]
set -euo pipefail
lines=$1
output=$2
build=${3:-build}
table=$(mktemp)
trap 'rm -f "$table"' EXIT
"$build/bin/balsamloft" logs losses < "$lines" | sed -n '/^second /,$p' > "$table"
gnuplot <<PLOT
set terminal svg size 900,360 background "white"
set output "$output"
set style data histograms
set style histogram rowstacked
set style fill solid
set boxwidth 0.9
set xlabel "second"
set ylabel "requests"
set key autotitle columnhead
set xtics rotate
plot "$table" using 2:xtic(int(\$0) % 5 == 0 ? stringcolumn(1) : ""), "" using 3, "" using 4
PLOT
