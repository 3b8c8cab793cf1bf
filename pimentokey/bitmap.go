package pimentokey

// keysPerPage is the number of keys of one bitmap page.
const keysPerPage = 4096

// BitmapPage records keysPerPage consecutive keys whose full records were evicted.
// Executed and Unknown have one bit per key, and at most one of a key's bits is set.
// Void keys are recorded as unknown.
type BitmapPage struct {
	Executed [keysPerPage / 64]uint64
	Unknown  [keysPerPage / 64]uint64
}

func (s Seq) page() uint64 { return uint64(s) / keysPerPage }

func (s Seq) bit() (word int, mask uint64) {
	n := uint64(s) % keysPerPage
	return int(n / 64), 1 << (n % 64)
}

func (p *BitmapPage) isExecuted(s Seq) bool {
	word, mask := s.bit()
	return p.Executed[word]&mask != 0
}

func (p *BitmapPage) isUnknown(s Seq) bool {
	word, mask := s.bit()
	return p.Unknown[word]&mask != 0
}

func (p *BitmapPage) setState(s Seq, st state) {
	word, mask := s.bit()
	if st == stateExecuted {
		p.Executed[word] |= mask
		return
	}
	p.Unknown[word] |= mask
}
