package main

import (
	"encoding/json"
	"fmt"
)

// The limits of the configurations, as in the examples of the wire.
const (
	headerTimeout = "3000ms"
	idleTimeout   = "15000ms"
)

// route is a route of a configuration.
type route struct {
	Host           string   `json:"host"`
	PathPrefix     string   `json:"pathPrefix"`
	Kind           string   `json:"kind"`
	Timeout        string   `json:"timeout"`
	TargetLatency  string   `json:"targetLatency"`
	Priority       int      `json:"priority"`
	Service        string   `json:"service"`
	MaxAttempts    int      `json:"maxAttempts"`
	AllowedRegions []string `json:"allowedRegions"`
}

// putConfig writes a configuration.
func (s *store) putConfig(version int, routes map[string]route, services ...string) {
	list := make(map[string]any)
	for _, name := range services {
		list[name] = map[string]any{"healthCheckPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false, "warmup": "3s", "warmupPerS": 2.6}
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": headerTimeout, "idleTimeout": idleTimeout},
	})
	if err != nil {
		panic(err)
	}
	s.put("op/config", value)
}
