# Least-squares line through input lines "x y". Prints the slope, the value at 0 and
# the largest residual in percent of the largest y; with -v at=N also the value at N.
{ n++; x[n] = $1; y[n] = $2; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
END {
  slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
  base = (sy - slope * sx) / n
  for (i = 1; i <= n; i++) {
    d = y[i] - base - slope * x[i]
    d = d < 0 ? -d : d
    worst = d > worst ? d : worst
    most = y[i] > most ? y[i] : most
  }
  printf "slope %.6g base %.6g worst %.1f%%", slope, base, 100 * worst / most
  if (at != "") printf " at %s: %.6g", at, base + slope * at
  print ""
}
