package pimentotarget

import (
	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentoregister"
)

// EntryName names an entry VM.
type EntryName string

// weight is the rendezvous weight of an entry for a target.
func weight(entry EntryName, target pimentoregister.VMName) uint64 {
	var buf [2*64 + 1]byte
	b := append(buf[:0], entry...)
	b = append(b, 0)
	b = append(b, target...)
	return xxhash.Sum64(b)
}

// Owner returns the entry that alone sends to the target while it is cold. It
// is empty when there are no entries.
func Owner(target pimentoregister.VMName, entries []EntryName) EntryName {
	var best EntryName
	var bestWeight uint64
	for _, e := range entries {
		w := weight(e, target)
		if best == "" || w > bestWeight || (w == bestWeight && e < best) {
			best = e
			bestWeight = w
		}
	}
	return best
}

// SlotShares splits units of each of count targets over n entries and returns, for
// each target, the share of the entry at index self. The units are dealt in
// turn, so the totals of any two entries differ by one at the most, and the
// shares of a target add up to units exactly. An entry that isn't in the list
// has index -1 and no shares.
func SlotShares(count, units, n, self int) []int {
	shares := make([]int, count)
	if n <= 0 || self < 0 {
		return shares
	}
	for i := range shares {
		shares[i] = units / n
		first := (i * (units % n)) % n
		if (self-first+n)%n < units%n {
			shares[i]++
		}
	}
	return shares
}
