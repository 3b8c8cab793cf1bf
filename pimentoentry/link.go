package pimentoentry

import (
	"io"
	"sync"
	"time"

	"pimentoarch/pimentoregister"
)

// linkShare is a token bucket for this entry's share of the traffic that its region may
// receive from other regions. All responses are counted, but only bulk ones are slowed
// down to the share, so that they leave capacity for others.
type linkShare struct {
	now func() time.Duration
	// rate returns the share in bytes per second.
	rate func() float64

	mu     sync.Mutex    // Guards the fields below. No other lock is acquired under it.
	tokens float64       // Bytes that may be received at once; negative when overdrawn.
	last   time.Duration // When tokens was last refilled.
}

const (
	// linkBurst is the time for which an unused share accumulates.
	linkBurst = 100 * time.Millisecond
	// bytesPerMbit is the number of bytes in a Mbit.
	bytesPerMbit = 1e6 / 8
)

// consume counts n received bytes, and returns the time until the share is no longer
// overdrawn.
func (l *linkShare) consume(n int) time.Duration {
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

// linkRate returns this entry's share of the configured link capacity in bytes per
// second: an equal part for each published entry of the region. While entries have two
// different lists, their shares add up to at most twice the capacity.
func (e *Entry) linkRate() float64 {
	entries, _ := e.publishedVMs()
	capacity := max(e.store.View().Links.CapacityMbps, 1)
	return float64(capacity) * bytesPerMbit / float64(max(len(entries), 1))
}

// pacedReader counts the bytes of a body from another region, and slows down bulk
// bodies to the share.
type pacedReader struct {
	r     io.Reader
	share *linkShare
	bulk  bool
}

// Read reads from the body, and then sleeps while a bulk body overdraws the share.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if pause := p.share.consume(n); p.bulk && pause > 0 {
		time.Sleep(pause)
	}
	return n, err
}

// paceResponse counts the body of a response from another region, and slows it down if
// the service is of class bulk.
func (e *Entry) paceResponse(c *call, from pimentoregister.RegionName) {
	if from == e.settings.Region {
		return
	}
	stream, streamed := c.resp.BodyStream().(*responseStream)
	if !streamed {
		e.linkShare.consume(len(c.resp.Body()))
		return
	}
	bulk := c.info != nil && c.info.Class == pimentoregister.ClassBulk
	stream.Reader = &pacedReader{r: stream.Reader, share: &e.linkShare, bulk: bulk}
}
