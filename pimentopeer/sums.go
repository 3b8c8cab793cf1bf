package pimentopeer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// sumParts is the number of parts into which members are dealt by their names,
// so that two rosters that differ in a few members need not be told whole.
const sumParts = 64

// Checksums has a checksum of what a roster knows for each part of the members. Two
// rosters that know the same have the same sums.
type Checksums [sumParts]uint32

// Hash stands for all sums.
func (s *Checksums) Hash() uint64 {
	var buf [4 * sumParts]byte
	for i, v := range s {
		binary.BigEndian.PutUint32(buf[4*i:], v)
	}
	return xxhash.Sum64(buf[:])
}

// Checksums returns the checksums of the members, this entry included.
func (r *GossipMembership) Checksums() Checksums {
	var s Checksums
	for _, m := range r.list(func(*Member) bool { return true }) {
		s[part(&m)] += m.sum()
	}
	return s
}

// DifferingRecords returns the other members of the parts in which a roster with these
// sums differs.
func (r *GossipMembership) DifferingRecords(other *Checksums) []Member {
	own := r.Checksums()
	return r.list(func(m *Member) bool {
		i := part(m)
		return m.Name != r.self.Name && own[i] != other[i]
	})
}

// part returns the part of a member.
func part(m *Member) int { return int(xxhash.Sum64String(string(m.Name)) % sumParts) }

// sum is the checksum of what is known of one member.
func (m *Member) sum() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.Name))
	var buf [9]byte
	binary.BigEndian.PutUint64(buf[:], m.Version)
	if m.Down {
		buf[8] = 1
	}
	_, _ = d.Write(buf[:])
	return uint32(d.Sum64())
}
