package pimentoentry

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// A bulk response from another region must take the time that the share allows, and a
// small response of another class must not be delayed meanwhile.
func TestLinkShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		share := &linkShare{
			now:  func() time.Duration { return time.Since(start) },
			rate: func() float64 { return 1e6 },
		}
		body := func(size int, bulk bool) time.Duration {
			began := time.Now()
			r := &pacedReader{r: bytes.NewReader(make([]byte, size)), share: share, bulk: bulk}
			if n, err := io.Copy(io.Discard, r); err != nil || int(n) != size {
				t.Errorf("%d of %d bytes, %v", n, size, err)
			}
			return time.Since(began)
		}
		small := make(chan time.Duration)
		go func() {
			time.Sleep(2 * time.Second)
			small <- body(1000, false)
		}()
		took := body(10e6, true)
		if took < 9*time.Second || took > 11*time.Second {
			t.Errorf("10 MB at 1 MB/s took %s", took)
		}
		if d := <-small; d > 0 {
			t.Errorf("a small response was delayed by %s", d)
		}
	})
}
