package pimentoroute

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"maps"
	"slices"
)

// Digest stands for a key. It is keyed with a secret of this process, so that callers can't
// choose keys whose digests are alike, and the time of a lookup says nothing about other keys.
type Digest [sha256.Size]byte

// digestSecret is the secret of this process.
var digestSecret = func() (secret [sha256.Size]byte) {
	_, _ = rand.Read(secret[:]) // It never returns an error.
	return secret
}()

// Digest returns the digest of a key.
func (k Key) Digest() Digest {
	var room [2 * sha256.Size]byte // Most keys fit, and the digest needs no allocation.
	return sha256.Sum256(append(append(room[:0], digestSecret[:]...), k...))
}

// keyHolder is a key's digest with the organisation that holds it.
type keyHolder struct {
	digest       Digest
	organisation *Organisation
}

// keyIndex has the holders of all keys by the first bytes of their digests. A lookup takes the
// same time for any number of keys.
type keyIndex map[uint64][]keyHolder

// slot returns the place of a digest.
func (d *Digest) slot() uint64 { return binary.LittleEndian.Uint64(d[:]) }

// newKeyIndex returns the index of the keys of a configuration, nil without organisations.
func newKeyIndex(cfg *Config) keyIndex {
	if len(cfg.Organisations) == 0 {
		return nil
	}
	n := 0
	for _, o := range cfg.Organisations {
		n += len(o.Keys)
	}
	index := make(keyIndex, n)
	for _, o := range slices.SortedFunc(maps.Values(cfg.Organisations), compareOrganisations) {
		for _, key := range o.Keys {
			d := key.Digest()
			index[d.slot()] = append(index[d.slot()], keyHolder{digest: d, organisation: o})
		}
	}
	return index
}

// compareOrganisations orders organisations: those with home regions first, then by name. A key
// counts as that of the first of its holders, so that all entries choose the same one.
func compareOrganisations(a, b *Organisation) int {
	return cmp.Or(cmp.Compare(min(1, len(b.Homes)), min(1, len(a.Homes))), cmp.Compare(a.Name, b.Name))
}

// find returns the organisation that holds the key with a digest, or nil.
func (ki keyIndex) find(d Digest) (found *Organisation) {
	for _, h := range ki[d.slot()] {
		if subtle.ConstantTimeCompare(h.digest[:], d[:]) == 1 && found == nil {
			found = h.organisation
		}
	}
	return found
}
