package pimentolink

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentomemory"
)

// Peers announce messages of the greatest length and send them in part. What doesn't fit in
// the memory for messages isn't kept, and other messages are still received.
func TestMessageMemory(t *testing.T) {
	const (
		limit       = 4 << 20
		peers       = 8
		partBytes   = 12 << 20 // That are sent of each message.
		growthLimit = 48 << 20 // Bytes of the heap, those of the sessions and peers included.
	)
	is := is.New(t)
	server, address := startNode(t, nil)
	server.Memory = pimentomemory.NewBudget(limit)
	server.OnSyncMessage = func(msg []byte) ([]byte, error) { return msg, nil }
	client, _ := startNode(t, nil)
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	done := make(chan bool, peers)
	for range peers {
		stream, err := client.open(address, streamSync)
		is.NoErr(err)
		defer func() { _ = stream.Close() }()
		go func() {
			defer func() { done <- true }()
			_ = stream.SetDeadline(time.Now().Add(3 * time.Second))
			_, err := stream.Write(binary.AppendUvarint(nil, maxMessageBytes))
			block := make([]byte, 64<<10)
			for sent := 0; err == nil && sent < partBytes; sent += len(block) {
				_, err = stream.Write(block)
			}
		}()
	}
	for range peers {
		<-done
	}
	runtime.GC()
	runtime.ReadMemStats(&now)
	if growth := int(now.HeapAlloc) - int(before.HeapAlloc); growth > growthLimit {
		t.Errorf("the heap grew by %d bytes, the limit is %d", growth, growthLimit)
	}
	if got := server.Memory.Used(); got > limit {
		t.Errorf("%d bytes are held, the limit is %d", got, limit)
	}
	c, closeClient := client.SyncClient(address)
	defer closeClient()
	reply, err := c.Exchange([]byte("small"))
	is.NoErr(err)
	is.Equal(string(reply), "small")
}
