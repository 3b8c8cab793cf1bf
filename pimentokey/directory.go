package pimentokey

// Directory remembers which process holds the ranges that were handed over.
// The zero value is ready to use. It isn't safe for concurrent use.
type Directory struct {
	holders map[Incarnation]Incarnation
}

// maxHops bounds a chain of hand-overs.
const maxHops = 64

// SetHolder notes that holder has adopted the range of issuer.
func (d *Directory) SetHolder(issuer, holder Incarnation) {
	if issuer == holder {
		return
	}
	if d.holders == nil {
		d.holders = make(map[Incarnation]Incarnation)
	}
	d.holders[issuer] = holder
}

// Holder returns the process that holds the range of issuer, as far as known:
// the issuer itself where no hand-over is known.
func (d *Directory) Holder(issuer Incarnation) Incarnation {
	at := issuer
	for range maxHops {
		next, ok := d.holders[at]
		if !ok {
			return at
		}
		at = next
	}
	return at
}
