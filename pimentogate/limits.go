package pimentogate

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"math"
	"time"

	"pimentoarch/pimentoroute"
)

// defaultLimits apply until there is a configuration, and in place of those that it doesn't
// state. Without a limit of its own, bodies are bounded by the memory for them.
var defaultLimits = pimentoroute.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// limits returns the active limits.
func (g *Gate) limits() pimentoroute.Limits {
	t := g.table.Load()
	if t == nil || t.Config == nil {
		return defaultLimits
	}
	stated := t.Config.Limits
	return pimentoroute.Limits{
		HeaderBytes:   cmp.Or(stated.HeaderBytes, defaultLimits.HeaderBytes),
		BodyBytes:     cmp.Or(stated.BodyBytes, math.MaxInt),
		HeaderTimeout: cmp.Or(stated.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:   cmp.Or(stated.IdleTimeout, defaultLimits.IdleTimeout),
	}
}

// takeLimits returns the limits of the next request, of which a part may have been read. It
// replaces the reader by a larger one if the limit of heads has grown.
func (cc *callerConn) takeLimits() pimentoroute.Limits {
	cc.limits = cc.gate.limits()
	if size := cc.limits.HeaderBytes + requestLineRoom; cc.r.Size() < size {
		begun, _ := cc.r.Peek(cc.r.Buffered())
		cc.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(begun)), &cc.link), size)
	}
	return cc.limits
}
