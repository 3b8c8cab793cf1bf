package main

import (
	"net"
	"time"
)

// delayProxy starts a proxy that forwards connections to an address and delays all bytes in
// both directions, as a link between two regions does. It returns its address.
func delayProxy(target string, delay time.Duration) string {
	ln := listen()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(delay)
				b, err := net.Dial("tcp", target)
				if err != nil {
					_ = c.Close()
					return
				}
				go pipe(b, c, delay)
				pipe(c, b, delay)
			}()
		}
	}()
	return ln.Addr().String()
}

// piece is what was read at a time. A nil data stands for the end of the stream.
type piece struct {
	at   time.Time
	data []byte
}

// pipe copies from one connection to another, each byte after a delay. At the end of the
// stream it closes both connections.
func pipe(to, from net.Conn, delay time.Duration) {
	queue := make(chan piece, 4096)
	go func() {
		for p := range queue {
			time.Sleep(time.Until(p.at))
			if p.data == nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
			_, _ = to.Write(p.data)
		}
	}()
	for {
		buf := make([]byte, 32<<10)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- piece{at: time.Now().Add(delay), data: buf[:n]}
		}
		if err != nil {
			queue <- piece{at: time.Now().Add(delay)}
			close(queue)
			return
		}
	}
}
