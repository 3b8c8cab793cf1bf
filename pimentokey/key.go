package pimentokey

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/dchest/siphash"
)

// Incarnation identifies one run of one process. It is drawn at random when
// the process starts.
type Incarnation uint64

// Seq numbers the keys of one incarnation from 1.
type Seq uint64

// MAC is the check value of a key.
type MAC uint64

// Fingerprint is a hash of a request's method, path and body.
type Fingerprint uint64

// Secret is the random value from which an incarnation computes check values.
type Secret [2]uint64

// Scope is what a key is bound to.
type Scope struct {
	Service      string
	Organisation string
}

// RegionHint is a short hash of the name of the region in which a key was issued. An
// entry that doesn't know the issuer asks an entry of that region.
type RegionHint uint16

// Key is an idempotency key.
type Key struct {
	RegionHint RegionHint
	Issuer     Incarnation
	Seq        Seq
	MAC        MAC
}

const (
	keyBytes = 24
	keyChars = 32
	// maxSeq is the greatest sequence number, which takes 48 bits in a key.
	maxSeq = 1<<48 - 1
)

var encoding = base64.RawURLEncoding.Strict()

// String returns the text form of the key: 32 characters that need no escaping
// in a header or URL.
func (k Key) String() string {
	return string(k.Append(nil))
}

// Append appends the text form of the key to dst.
func (k Key) Append(dst []byte) []byte {
	var raw [keyBytes]byte
	binary.BigEndian.PutUint64(raw[0:], uint64(k.Issuer))
	binary.BigEndian.PutUint64(raw[8:], uint64(k.RegionHint)<<48|uint64(k.Seq))
	binary.BigEndian.PutUint64(raw[16:], uint64(k.MAC))
	return encoding.AppendEncode(dst, raw[:])
}

// Parse reads the text form of a key. A text that it refuses was issued by no
// process, so no request ever ran under it.
func Parse(text string) (Key, error) {
	if len(text) != keyChars {
		return Key{}, &Error{Op: "parse", Kind: KindSyntax, Err: fmt.Errorf("key has %d characters, want %d", len(text), keyChars)}
	}
	var raw [keyBytes]byte
	n, err := encoding.Decode(raw[:], []byte(text))
	if err != nil {
		return Key{}, &Error{Op: "parse", Kind: KindSyntax, Err: err}
	}
	if n != keyBytes {
		// The decoder passes over line breaks.
		return Key{}, &Error{Op: "parse", Kind: KindSyntax, Err: fmt.Errorf("key has %d bytes, want %d", n, keyBytes)}
	}
	place := binary.BigEndian.Uint64(raw[8:])
	return Key{
		RegionHint: RegionHint(place >> 48),
		Issuer:     Incarnation(binary.BigEndian.Uint64(raw[0:])),
		Seq:        Seq(place & maxSeq),
		MAC:        MAC(binary.BigEndian.Uint64(raw[16:])),
	}, nil
}

// sum computes the check value of a key under a secret.
func (s Secret) sum(issuer Incarnation, seq Seq, scope Scope) MAC {
	var buf [160]byte
	msg := binary.BigEndian.AppendUint64(buf[:0], uint64(issuer))
	msg = binary.BigEndian.AppendUint64(msg, uint64(seq))
	msg = append(msg, scope.Service...)
	msg = append(msg, 0)
	msg = append(msg, scope.Organisation...)
	return MAC(siphash.Hash(s[0], s[1], msg))
}
