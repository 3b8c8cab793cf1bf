package pimentotarget

import (
	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentoregister"
)

// EntryName names an entry VM.
type EntryName string

// rendezvousWeight returns the weight of an entry for a target in rendezvous hashing.
func rendezvousWeight(entry EntryName, target pimentoregister.VMName) uint64 {
	var buf [2*64 + 1]byte
	b := append(buf[:0], entry...)
	b = append(b, 0)
	b = append(b, target...)
	return xxhash.Sum64(b)
}

// Owner returns the only entry that sends to the target while it is cold, or an
// empty name if there are no entries.
func Owner(target pimentoregister.VMName, entries []EntryName) EntryName {
	var best EntryName
	var bestWeight uint64
	for _, e := range entries {
		w := rendezvousWeight(e, target)
		if best == "" || w > bestWeight || (w == bestWeight && e < best) {
			best = e
			bestWeight = w
		}
	}
	return best
}

// SlotShares splits the slots of each of count targets among n entries and returns,
// for each target, the share of the entry at index self. The slots are assigned in
// rotation: the totals of any two entries differ by at most one, and the shares of a
// target add up to slots exactly. An entry that isn't in the list has index -1 and no
// shares.
func SlotShares(count, slots, n, self int) []int {
	shares := make([]int, count)
	if n <= 0 || self < 0 {
		return shares
	}
	for i := range shares {
		shares[i] = slots / n
		firstExtra := (i * (slots % n)) % n
		if (self-firstExtra+n)%n < slots%n {
			shares[i]++
		}
	}
	return shares
}
