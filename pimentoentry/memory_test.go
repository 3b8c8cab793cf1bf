package pimentoentry

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// While the memory for bodies is used up, requests with a large body are refused as not run,
// with and without a length, and small ones are served. Afterwards there is room again.
func TestBodyMemory(t *testing.T) {
	f := newCluster(t, 4)
	m := f.start("west-a")
	f.awaitReady()
	const blockBytes = 10_000
	block := strings.Repeat("u", blockBytes)
	head := "POST /charts/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nPimento-Org: any\r\n"
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, 10*blockBytes, strings.Repeat(block, 10))
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", blockBytes, block), 10) + "0\r\n\r\n"
	small := head + "Content-Length: 1\r\n\r\nu"

	grant, end := m.memory.NewGrant()
	f.is.True(grant.Grow(m.memory.Limit() * 7 / 8))
	for name, request := range map[string]string{"length": length, "chunked": chunked} {
		response := exchangeBytes(t, m, request, false)
		for _, part := range []string{"HTTP/1.1 503", "Pimento-Reason: memory", "Pimento-Run: no", "Retry-After: "} {
			if !strings.Contains(response, part) {
				t.Errorf("%s: no %q in the response:\n%.300s", name, part, response)
			}
		}
	}
	if response := exchangeBytes(t, m, small, false); !strings.HasPrefix(response, "HTTP/1.1 200") {
		t.Errorf("small body: response\n%.300s", response)
	}
	end()
	f.await("the memory is given back", func() bool { return m.memory.Used() == 0 })
	for name, request := range map[string]string{"length": length, "chunked": chunked} {
		if response := exchangeBytes(t, m, request, false); !strings.HasPrefix(response, "HTTP/1.1 200") {
			t.Errorf("%s, afterwards: response\n%.300s", name, response)
		}
	}
	for end := time.Now().Add(5 * time.Second); m.memory.Used() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held at the end", m.memory.Used())
		}
	}
}
