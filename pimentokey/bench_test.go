package pimentokey

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkIssueSettle measures Issue, Begin and Resolve of one key, by the number of
// keys used before.
func BenchmarkIssueSettle(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("issued=%d", n), func(b *testing.B) {
			l := NewLedger(1, Secret{1, 2})
			response := &Response{Status: 200, Header: make([]byte, 150), Body: make([]byte, 200)}
			useKey := func() {
				k, _ := l.Issue(testScope)
				l.Begin(k, testScope, 1)
				l.Resolve(k, OutcomeExecuted, response)
			}
			for range n {
				useKey()
			}
			b.ReportAllocs()
			for b.Loop() {
				useKey()
			}
		})
	}
}

// BenchmarkLedgerMemory reports the heap size of a ledger, by the number of used keys.
// Records and stored responses take at most the default limit of 16 MB.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("issued=%d", n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := heapAlloc()
				l := NewLedger(1, Secret{1, 2})
				for range n {
					k, _ := l.Issue(testScope)
					l.Begin(k, testScope, 1)
					l.Resolve(k, OutcomeExecuted, &Response{Header: make([]byte, 150), Body: make([]byte, 200)})
				}
				bytes = heapAlloc() - before
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(bytes), "heap-bytes")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
