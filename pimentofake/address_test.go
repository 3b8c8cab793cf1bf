package pimentofake

import "testing"

// Processes that run at the same time, and the calls of one of them, get different
// addresses.
func TestAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for _, pid := range []int{1, 2, 201, 401, 4201, 8123, 8323} {
		for call := 1; call <= 600; call++ {
			for _, a := range addresses(pid, call, 4) {
				if seen[a] {
					t.Fatalf("address %s is given to process %d and to another call", a, pid)
				}
				seen[a] = true
			}
		}
	}
}
