# gnuplot -c bench/goodput.plot goodput.csv goodput.png
set terminal pngcairo size 800,500
set output ARG2
set datafile separator ','
set logscale x 2
set xlabel 'offered load, of the fleet''s capacity'
set ylabel 'answered in time, requests a second'
set yrange [0:*]
set key off
set grid
plot ARG1 using 1:2 skip 1 with linespoints lw 2 pt 7
