package pimentokey

// Directory records which process holds each key range that was handed over.
// The zero value is ready to use. It isn't safe for concurrent use.
type Directory struct {
	holders map[Incarnation]Incarnation
}

// maxHops limits how many handovers of a range are followed.
const maxHops = 64

// SetHolder records that holder has adopted the range of issuer. It ignores calls with
// issuer equal to holder.
func (d *Directory) SetHolder(issuer, holder Incarnation) {
	if issuer == holder {
		return
	}
	if d.holders == nil {
		d.holders = make(map[Incarnation]Incarnation)
	}
	d.holders[issuer] = holder
}

// Holder returns the process that holds the range of issuer according to the
// recorded handovers, which is the issuer itself if there are none.
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
