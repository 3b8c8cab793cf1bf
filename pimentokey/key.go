package pimentokey

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/dchest/siphash"
)

// Incarnation identifies one run of one process. It is a random number generated
// when the process starts.
type Incarnation uint64

// Seq is the sequence number of a key within its incarnation, starting at 1.
type Seq uint64

// MAC is the message authentication code of a key, computed with the issuer's
// Secret. It detects keys that were never issued for a scope.
type MAC uint64

// Fingerprint is a hash of a request's method, path, query and body. It differs from the
// Fingerprint of package pimentoretry.
type Fingerprint uint64

// Secret is the random SipHash key with which an incarnation computes MACs.
type Secret [2]uint64

// Scope is the service and organisation for which a key is valid.
type Scope struct {
	Service      string
	Organisation string
}

// RegionHint is a short hash of the name of the region in which a key was issued. An
// entry that has no peer for the issuer forwards the request to an entry of that
// region.
type RegionHint uint16

// Key is an idempotency key. Its MAC covers the issuer, the sequence number and the
// scope, but not the region hint.
type Key struct {
	RegionHint RegionHint
	Issuer     Incarnation
	Seq        Seq
	MAC        MAC
}

const (
	keyBytes = 24
	keyChars = 32
	// maxSeq is the highest sequence number: 48 bits of a key are reserved for it.
	maxSeq = 1<<48 - 1
)

var encoding = base64.RawURLEncoding.Strict()

// String returns the text form of the key: 32 characters of unpadded base64url,
// which need no escaping in a header or URL.
func (k Key) String() string {
	return string(k.Append(nil))
}

// Append appends the text form of the key to dst and returns the result.
func (k Key) Append(dst []byte) []byte {
	var raw [keyBytes]byte
	binary.BigEndian.PutUint64(raw[0:], uint64(k.Issuer))
	binary.BigEndian.PutUint64(raw[8:], uint64(k.RegionHint)<<48|uint64(k.Seq))
	binary.BigEndian.PutUint64(raw[16:], uint64(k.MAC))
	return encoding.AppendEncode(dst, raw[:])
}

// Parse reads the text form of a key. It returns an *Error of KindSyntax for any
// other text. Such a text was never issued, so no request was executed under it.
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
		// The decoder skips line breaks, so the text may hold fewer bytes.
		return Key{}, &Error{Op: "parse", Kind: KindSyntax, Err: fmt.Errorf("key has %d bytes, want %d", n, keyBytes)}
	}
	word := binary.BigEndian.Uint64(raw[8:])
	return Key{
		RegionHint: RegionHint(word >> 48),
		Issuer:     Incarnation(binary.BigEndian.Uint64(raw[0:])),
		Seq:        Seq(word & maxSeq),
		MAC:        MAC(binary.BigEndian.Uint64(raw[16:])),
	}, nil
}

// mac computes the MAC of a key for a scope.
func (s Secret) mac(issuer Incarnation, seq Seq, scope Scope) MAC {
	var buf [160]byte
	msg := binary.BigEndian.AppendUint64(buf[:0], uint64(issuer))
	msg = binary.BigEndian.AppendUint64(msg, uint64(seq))
	msg = append(msg, scope.Service...)
	msg = append(msg, 0)
	msg = append(msg, scope.Organisation...)
	return MAC(siphash.Hash(s[0], s[1], msg))
}
