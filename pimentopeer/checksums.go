package pimentopeer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// checksumBuckets is the number of buckets into which members are hashed by name, so
// that entries whose memberships differ in a few members exchange only a few records.
const checksumBuckets = 64

// Checksums has the sum of the record checksums of each bucket. Memberships with the
// same records have the same checksums.
type Checksums [checksumBuckets]uint32

// Hash returns a hash of all checksums.
func (s *Checksums) Hash() uint64 {
	var buf [4 * checksumBuckets]byte
	for i, v := range s {
		binary.BigEndian.PutUint32(buf[4*i:], v)
	}
	return xxhash.Sum64(buf[:])
}

// Checksums returns the checksums of all records, this entry's included.
func (g *GossipMembership) Checksums() Checksums { return g.checksums }

// DifferingRecords returns all records but this entry's in the buckets whose checksums
// differ from those of another membership.
func (g *GossipMembership) DifferingRecords(other *Checksums) []Member {
	var list []Member
	for _, m := range g.OtherRecords() {
		if i := bucketOf(&m); g.checksums[i] != other[i] {
			list = append(list, m)
		}
	}
	return list
}

// bucketOf returns the index of a member's bucket.
func bucketOf(m *Member) int { return int(xxhash.Sum64String(string(m.Name)) % checksumBuckets) }

// checksum returns the checksum of a record, over its name, version and Down.
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
