package pimentotarget

// Aperture returns the part of n targets in a fixed order that one of many entries asks
// first: count targets from index start on, after the last of which the first follows.
// position, from 0 up to 1, is the entry's place among the entries in a fixed order.
//
// Entries that keep to a part of the targets find an idle connection to them, while the
// parts of all entries together cover each target about as often.
func Aperture(n, size int, position float64) (start, count int) {
	if n <= size {
		return 0, n
	}
	return int(position*float64(n)) % n, size
}
