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

// A document larger than MaxBytes is published as a manifest and parts. Each part is a
// document with some of the lists, and the whole document is their concatenation. The
// manifest has the checksum of each part, so parts of different revisions are never
// joined.

// MaxParts is the maximum number of parts of one document.
const MaxParts = 64

// manifest is the published value of a document that is split into parts.
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

// ParseManifest returns the parts that a published value lists, or nil if the value
// isn't a manifest of at most MaxParts parts.
func ParseManifest(data []byte) []Part {
	var m manifest
	if json.Unmarshal(data, &m) != nil || len(m.Parts) > MaxParts {
		return nil
	}
	return m.Parts
}

// joinedPrefix is the first byte of joined parts. No JSON text begins with it.
const joinedPrefix = 0x01

// Join encodes the values of a manifest's parts as one value for Store.Offer. values has
// one element per part. It returns an *Error of KindContent if the checksum of a value
// differs from that in the manifest.
func Join(parts []Part, values [][]byte) ([]byte, error) {
	data := binary.AppendUvarint([]byte{joinedPrefix}, uint64(len(parts)))
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

// Assemble decodes and checks a value that is either a document or the result of Join.
// The errors are those of Parse; a malformed result of Join is an *Error of KindSyntax.
func Assemble(data []byte) (*Document, error) {
	var c partCache
	return c.assemble(data)
}

// partCache holds the decoded parts of the last accepted document by checksum, so that
// unchanged parts aren't decoded again. The zero value is ready to use.
type partCache struct {
	decoded map[[sha256.Size]byte]*Document
}

func (c *partCache) assemble(data []byte) (*Document, error) {
	if len(data) == 0 || data[0] != joinedPrefix {
		return Parse(data)
	}
	values, err := splitParts(data[1:])
	if err != nil {
		return nil, err
	}
	whole := new(Document)
	next := make(map[[sha256.Size]byte]*Document, len(values))
	for _, value := range values {
		sum := sha256.Sum256(value)
		d := c.decoded[sum]
		if d == nil {
			if d, err = decode(value); err != nil {
				return nil, err
			}
		}
		next[sum] = d
		whole.appendPart(d)
	}
	if violations := Check(whole); len(violations) > 0 {
		return nil, &Error{Op: "check", Kind: KindContent, Violations: violations}
	}
	c.decoded = next
	return whole, nil
}

// splitParts returns the values from the result of Join, without its first byte.
func splitParts(data []byte) ([][]byte, error) {
	errMalformed := &Error{Op: "assemble", Kind: KindSyntax, Err: errors.New("a part is cut short")}
	count, n := binary.Uvarint(data)
	if n <= 0 || count > MaxParts {
		return nil, errMalformed
	}
	data = data[n:]
	var values [][]byte
	for range count {
		size, n := binary.Uvarint(data)
		if n <= 0 || size > MaxBytes || uint64(len(data)-n) < size {
			return nil, errMalformed
		}
		values = append(values, data[n:n+int(size)])
		data = data[n+int(size):]
	}
	if len(data) > 0 {
		return nil, &Error{Op: "assemble", Kind: KindSyntax, Err: errors.New("data after the last part")}
	}
	return values, nil
}

// appendPart adds the lists of a part. Links are those of the last part that has any.
func (d *Document) appendPart(part *Document) {
	d.Regions = slices.Concat(d.Regions, part.Regions)
	d.Services = slices.Concat(d.Services, part.Services)
	d.VMs = slices.Concat(d.VMs, part.VMs)
	d.Organisations = slices.Concat(d.Organisations, part.Organisations)
	d.Rules.OnceRoutes = slices.Concat(d.Rules.OnceRoutes, part.Rules.OnceRoutes)
	d.Rules.OutOfService = slices.Concat(d.Rules.OutOfService, part.Rules.OutOfService)
	if part.Rules.Links != (Links{}) {
		d.Rules.Links = part.Rules.Links
	}
}
