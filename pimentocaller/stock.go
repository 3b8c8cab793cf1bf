package pimentocaller

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxStock bounds the keys that are kept for each service.
	maxStock = 128
	// batch is the number of keys that are asked for at a time.
	batch = 16
	// maxKeyAge is the age from which a key is thrown away. Its issuer may have
	// crashed since, which would make the request's outcome unknown.
	maxKeyAge = 30 * time.Second
)

// stockKey is a key with the time at which it came.
type stockKey struct {
	text string
	at   time.Time
}

// stock holds unused keys by service, the newest last. The zero value is ready
// to use.
type stock struct {
	mu   sync.Mutex // Guards keys.
	keys map[string][]stockKey
}

func (s *stock) add(service string, keys []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = make(map[string][]stockKey)
	}
	list := s.keys[service]
	for _, k := range keys {
		list = append(list, stockKey{text: k, at: now})
	}
	if len(list) > maxStock {
		list = append(list[:0], list[len(list)-maxStock:]...)
	}
	s.keys[service] = list
}

// take returns the newest key, because its issuer is the most likely to live.
func (s *stock) take(service string, now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.keys[service]
	if len(list) == 0 {
		return "", false
	}
	k := list[len(list)-1]
	if now.Sub(k.at) > maxKeyAge {
		s.keys[service] = nil
		return "", false
	}
	s.keys[service] = list[:len(list)-1]
	return k.text, true
}

// takeKey returns a key from the stock, or fetches a batch.
func (c *Client) takeKey(service string, deadline time.Time) (string, error) {
	if k, ok := c.stock.take(service, time.Now()); ok {
		return k, nil
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Address() + "/.pimento/keys?service=" + service + "&n=" + strconv.Itoa(batch))
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Pimento-Org", c.Organisation)
	if err := c.http.DoTimeout(req, resp, min(tryTimeout, time.Until(deadline))); err != nil {
		return "", err
	}
	keys := string(resp.Header.Peek("Pimento-Keys"))
	if keys == "" {
		return "", fmt.Errorf("keys for service %q: status %d, reason %q", service, resp.StatusCode(), resp.Header.Peek("Pimento-Reason"))
	}
	c.stock.add(service, strings.Split(keys, ","), time.Now())
	k, _ := c.stock.take(service, time.Now())
	return k, nil
}
