package pimentotarget

import (
	"testing"

	"pgregory.net/rapid"
)

// The apertures of all entries together cover each target about as often, and each target
// as long as there are enough entries.
func TestAperturesCoverTargetsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 200).Draw(t, "entries")
		targets := rapid.IntRange(1, 300).Draw(t, "targets")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		covered := make([]int, targets)
		for i := range entries {
			start, count := Aperture(targets, size, float64(i)/float64(entries))
			if count != min(size, targets) {
				t.Fatalf("an aperture has %d of %d targets, want %d", count, targets, min(size, targets))
			}
			for k := range count {
				covered[(start+k)%targets]++
			}
		}
		// The windows begin at even distances, so that the counts differ by the rounding
		// at both ends of a window, and by whole windows where entries share a place.
		sharing := (entries + targets - 1) / targets
		least, most := covered[0], covered[0]
		for _, n := range covered {
			least, most = min(least, n), max(most, n)
		}
		if most-least > 2*sharing {
			t.Fatalf("targets are covered by %d to %d entries", least, most)
		}
		if entries*size >= 2*targets && least == 0 {
			t.Fatalf("%d entries with %d targets each leave out one of %d", entries, size, targets)
		}
	})
}
