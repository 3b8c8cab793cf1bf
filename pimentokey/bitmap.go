package pimentokey

// pageKeys is the number of keys of one bitmap page.
const pageKeys = 4096

// BitmapPage marks the used keys of one stretch of a range whose records are no
// longer kept. A key is in at most one of the two sets. Void keys count as
// unknown there.
type BitmapPage struct {
	Executed [pageKeys / 64]uint64
	Unknown  [pageKeys / 64]uint64
}

func (s Seq) page() uint64 { return uint64(s) / pageKeys }

func (s Seq) bit() (word int, mask uint64) {
	n := uint64(s) % pageKeys
	return int(n / 64), 1 << (n % 64)
}

func (p *BitmapPage) ran(s Seq) bool {
	word, mask := s.bit()
	return p.Executed[word]&mask != 0
}

func (p *BitmapPage) unknown(s Seq) bool {
	word, mask := s.bit()
	return p.Unknown[word]&mask != 0
}

func (p *BitmapPage) mark(s Seq, st state) {
	word, mask := s.bit()
	if st == stateDone {
		p.Executed[word] |= mask
		return
	}
	p.Unknown[word] |= mask
}
