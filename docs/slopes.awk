# Reads the output of Go benchmarks whose names end in PARAM=N, and prints for each
# figure the least-squares line over N: its value at N=0 and its slope.
/^Benchmark/ {
	name = $1
	sub(/-[0-9]+$/, "", name)
	n = name
	sub(/.*=/, "", n)
	sub(/=[0-9]+$/, "", name)
	for (i = 3; i < NF; i += 2) {
		key = name " " $(i + 1)
		if (!(key in count)) order[++keys] = key
		count[key]++; sx[key] += n; sy[key] += $i; sxx[key] += n * n; sxy[key] += n * $i
		list[key] = list[key] sprintf("%s:%s ", n, $i)
	}
}
END {
	printf "%-52s %14s %14s  %s\n", "figure, by parameter", "at zero", "slope", "measured"
	for (k = 1; k <= keys; k++) {
		key = order[k]
		d = count[key] * sxx[key] - sx[key] ^ 2
		slope = d == 0 ? 0 : (count[key] * sxy[key] - sx[key] * sy[key]) / d
		printf "%-52s %14.1f %14.3f  %s\n", key, (sy[key] - slope * sx[key]) / count[key], slope, list[key]
	}
}
