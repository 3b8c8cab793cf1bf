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
	// maxPoolKeys is the maximum number of keys kept for each service.
	maxPoolKeys = 128
	// keyBatch is the number of keys that are requested at a time.
	keyBatch = 16
	// maxKeyAge is the age above which a key is discarded. The entry that issued it
	// may have crashed since, which would make the request's outcome unknown.
	maxKeyAge = 30 * time.Second
)

// pooledKey is a key with the time at which it was received.
type pooledKey struct {
	text     string
	received time.Time
}

// keyPool holds unused keys by service, the newest last. The zero value is an
// empty pool.
type keyPool struct {
	mu   sync.Mutex // Guards keys.
	keys map[string][]pooledKey
}

// add appends keys of a service, and discards the oldest above maxPoolKeys.
func (p *keyPool) add(service string, keys []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keys == nil {
		p.keys = make(map[string][]pooledKey)
	}
	list := p.keys[service]
	for _, k := range keys {
		list = append(list, pooledKey{text: k, received: now})
	}
	if len(list) > maxPoolKeys {
		list = append(list[:0], list[len(list)-maxPoolKeys:]...)
	}
	p.keys[service] = list
}

// pop removes and returns the newest key, because its issuer is the most likely to be
// still running. It reports false if there is none. If the newest key is too old, so are
// the others, and it discards them all.
func (p *keyPool) pop(service string, now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.keys[service]
	if len(list) == 0 {
		return "", false
	}
	k := list[len(list)-1]
	if now.Sub(k.received) > maxKeyAge {
		p.keys[service] = nil
		return "", false
	}
	p.keys[service] = list[:len(list)-1]
	return k.text, true
}

// takeKey returns a key from the pool. If there is none, it requests a batch first.
func (c *Client) takeKey(service string, deadline time.Time) (string, error) {
	if k, ok := c.keyPool.pop(service, time.Now()); ok {
		return k, nil
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	address := c.Address()
	req.SetRequestURI("http://" + address + "/.pimento/keys?service=" + service + "&n=" + strconv.Itoa(keyBatch))
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Pimento-Org", c.Organisation)
	if _, _, err := c.exchange(address, req, resp, min(attemptTimeout, time.Until(deadline))); err != nil {
		return "", err
	}
	keys := string(resp.Header.Peek("Pimento-Keys"))
	if keys == "" {
		return "", fmt.Errorf("no keys for service %q: status %d, reason %q", service, resp.StatusCode(), resp.Header.Peek("Pimento-Reason"))
	}
	c.keyPool.add(service, strings.Split(keys, ","), time.Now())
	k, _ := c.keyPool.pop(service, time.Now())
	return k, nil
}
