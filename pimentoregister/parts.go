package pimentoregister

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// A document larger than MaxBytes is published as a manifest with parts. Each
// part is a document with some of the lists; the document is their
// concatenation. The manifest names each part by its checksum, so a reader
// never joins parts of different revisions.

// MaxParts is the largest number of parts of one document.
const MaxParts = 64

// manifest is the published value of a document in parts.
type manifest struct {
	Parts []Part `json:"parts"`
}

// Part names one part of a document.
type Part struct {
	// Name is the name under which the platform publishes the part.
	Name string `json:"name"`
	// Sum is the SHA-256 of the part's bytes, in hexadecimal.
	Sum string `json:"sum"`
}

// ParseManifest returns the parts that a published value names, or nil when the
// value is a document by itself.
func ParseManifest(data []byte) []Part {
	var m manifest
	if json.Unmarshal(data, &m) != nil || len(m.Parts) > MaxParts {
		return nil
	}
	return m.Parts
}

// bundleMark begins the joined parts of a document. No JSON begins with it.
const bundleMark = 0x01

// Join returns one value from the parts of a manifest, for Store.Offer.
// It refuses a part whose checksum differs from the manifest's.
func Join(parts []Part, values [][]byte) ([]byte, error) {
	data := binary.AppendUvarint([]byte{bundleMark}, uint64(len(parts)))
	for i, p := range parts {
		sum := sha256.Sum256(values[i])
		if hex.EncodeToString(sum[:]) != p.Sum {
			return nil, &Error{Op: "join", Kind: KindContent, Err: fmt.Errorf("part %q: checksum %x, the manifest has %s", p.Name, sum, p.Sum)}
		}
		data = binary.AppendUvarint(data, uint64(len(values[i])))
		data = append(data, values[i]...)
	}
	return data, nil
}

// Assemble parses a value that is either a document or the result of Join.
func Assemble(data []byte) (*Document, error) {
	var c partCache
	return c.assemble(data)
}

// partCache holds the decoded parts of the last document, so that a change to
// one part doesn't decode the others anew. The zero value is ready to use.
type partCache struct {
	parts map[[sha256.Size]byte]*Document
}

func (c *partCache) assemble(data []byte) (*Document, error) {
	if len(data) == 0 || data[0] != bundleMark {
		return Parse(data)
	}
	values, err := split(data[1:])
	if err != nil {
		return nil, err
	}
	whole := new(Document)
	next := make(map[[sha256.Size]byte]*Document, len(values))
	for _, value := range values {
		sum := sha256.Sum256(value)
		d := c.parts[sum]
		if d == nil {
			if d, err = decode(value); err != nil {
				return nil, err
			}
		}
		next[sum] = d
		whole.add(d)
	}
	if faults := Check(whole); len(faults) > 0 {
		return nil, &Error{Op: "check", Kind: KindContent, Violations: faults}
	}
	c.parts = next
	return whole, nil
}

// split returns the parts of the result of Join.
func split(data []byte) ([][]byte, error) {
	cut := &Error{Op: "assemble", Kind: KindSyntax, Err: errors.New("a part is cut short")}
	count, n := binary.Uvarint(data)
	if n <= 0 || count > MaxParts {
		return nil, cut
	}
	data = data[n:]
	var values [][]byte
	for range count {
		size, n := binary.Uvarint(data)
		if n <= 0 || size > MaxBytes || uint64(len(data)-n) < size {
			return nil, cut
		}
		values = append(values, data[n:n+int(size)])
		data = data[n+int(size):]
	}
	if len(data) > 0 {
		return nil, &Error{Op: "assemble", Kind: KindSyntax, Err: errors.New("data after the last part")}
	}
	return values, nil
}

func (d *Document) add(o *Document) {
	d.Regions = slices.Concat(d.Regions, o.Regions)
	d.Services = slices.Concat(d.Services, o.Services)
	d.VMs = slices.Concat(d.VMs, o.VMs)
	d.Organisations = slices.Concat(d.Organisations, o.Organisations)
	d.Rules.OnceRoutes = slices.Concat(d.Rules.OnceRoutes, o.Rules.OnceRoutes)
	d.Rules.OutOfService = slices.Concat(d.Rules.OutOfService, o.Rules.OutOfService)
	if o.Rules.Links != (Links{}) {
		d.Rules.Links = o.Rules.Links
	}
}
