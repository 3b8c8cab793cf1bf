package pimentoentry

import (
	"io"
	"sync"
	"time"

	"pimentoarch/pimentoregister"
)

// linkShare is this entry's share of what its region may receive from other
// regions. Cheap answers only count; bulk ones are slowed down to the share, so
// that they leave room for others.
type linkShare struct {
	now func() time.Duration
	// rate returns the share in bytes per second.
	rate func() float64

	mu     sync.Mutex // Guards the fields below. No other lock is taken under it.
	tokens float64    // Bytes that may be received at once; negative when overdrawn.
	last   time.Duration
}

const (
	// linkBurst is the time for which an unused share is saved up.
	linkBurst = 100 * time.Millisecond
	// bytesPerMbit is the number of bytes in a Mbit.
	bytesPerMbit = 1e6 / 8
)

// take counts n received bytes, and returns the time after which the share
// is no longer overdrawn.
func (l *linkShare) take(n int) time.Duration {
	rate := l.rate()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.tokens = min(l.tokens+rate*(now-l.last).Seconds(), rate*linkBurst.Seconds())
	l.last = now
	l.tokens -= float64(n)
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / rate * float64(time.Second))
}

// linkRate is the entry's share of the published capacity: an equal part for
// each published entry of the region. Two lists can add up to twice the
// capacity at the most.
func (e *Entry) linkRate() float64 {
	entries, _ := e.listed()
	capacity := max(e.store.View().Links.CapacityMbps, 1)
	return float64(capacity) * bytesPerMbit / float64(max(len(entries), 1))
}

// pacedReader counts a body that comes from another region.
type pacedReader struct {
	r     io.Reader
	share *linkShare
	bulk  bool
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if pause := p.share.take(n); p.bulk && pause > 0 {
		time.Sleep(pause)
	}
	return n, err
}

// pace counts the body of an answer that comes from another region.
func (e *Entry) pace(c *call, from pimentoregister.RegionName) {
	if from == e.settings.Region {
		return
	}
	m, streams := c.resp.BodyStream().(*movedStream)
	if !streams {
		e.link.take(len(c.resp.Body()))
		return
	}
	bulk := c.info != nil && c.info.Class == pimentoregister.ClassBulk
	m.Reader = &pacedReader{r: m.Reader, share: &e.link, bulk: bulk}
}
