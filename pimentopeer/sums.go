package pimentopeer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// checksumBuckets is the number of parts into which members are dealt by their names,
// so that two rosters that differ in a few members need not be told whole.
const checksumBuckets = 64

// Checksums has a checksum of what a roster knows for each part of the members. Two
// rosters that know the same have the same sums.
type Checksums [checksumBuckets]uint32

// Hash stands for all sums.
func (s *Checksums) Hash() uint64 {
	var buf [4 * checksumBuckets]byte
	for i, v := range s {
		binary.BigEndian.PutUint32(buf[4*i:], v)
	}
	return xxhash.Sum64(buf[:])
}

// Checksums returns the checksums of the members, this entry included.
func (g *GossipMembership) Checksums() Checksums {
	var s Checksums
	for _, m := range g.filter(func(*Member) bool { return true }) {
		s[bucketOf(&m)] += m.checksum()
	}
	return s
}

// DifferingRecords returns the other members of the parts in which a roster with these
// sums differs.
func (g *GossipMembership) DifferingRecords(other *Checksums) []Member {
	own := g.Checksums()
	return g.filter(func(m *Member) bool {
		i := bucketOf(m)
		return m.Name != g.self.Name && own[i] != other[i]
	})
}

// bucketOf returns the bucketOf of a member.
func bucketOf(m *Member) int { return int(xxhash.Sum64String(string(m.Name)) % checksumBuckets) }

// checksum is the checksum of what is known of one member.
func (m *Member) checksum() uint32 {
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
