package pimentopeer

// A ring is a list of members of one domain, sorted by name, in which the first member
// follows the last.

const (
	// smallRingSize is the size of the largest ring in which the second successor of a
	// member is two steps away. In medium rings it is a third of the ring away.
	smallRingSize = 8
	// mediumRingSize is the size of the largest ring in which a member has two successors.
	// In larger ones they are 1, stepRatio, stepRatio^2 and so on steps away, up to half
	// of the ring, so that the hops and the successors grow with the logarithm of its size.
	mediumRingSize = 24
	stepRatio      = 4
)

// ringSteps returns how far away the successors of each member of a ring are.
func ringSteps(size int) []int {
	switch {
	case size <= smallRingSize:
		return []int{1, 2}
	case size <= mediumRingSize:
		return []int{1, size / 3}
	}
	var steps []int
	for step := 1; step <= size/2; step *= stepRatio {
		steps = append(steps, step)
	}
	return steps
}

// ringSuccessors returns the members to which the one at an index of a ring sends sync
// messages: the next one, and others farther away (see ringSteps), so that updates need
// few hops.
func ringSuccessors(ring []Member, index int) []Member {
	n := len(ring)
	var list []Member
	for _, step := range ringSteps(n) {
		if step%n != 0 {
			list = append(list, ring[(index+step)%n])
		}
	}
	return list
}

// ringNeighbours returns the members that exchange sync messages with the one at an index
// of a ring: its successors and those whose successor it is. A member may be listed twice.
func ringNeighbours(ring []Member, index int) []Member {
	n := len(ring)
	var list []Member
	for _, step := range ringSteps(n) {
		if step%n != 0 {
			list = append(list, ring[(index+step)%n], ring[(index-step%n+n)%n])
		}
	}
	return list
}
