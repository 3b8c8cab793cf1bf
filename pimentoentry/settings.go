package pimentoentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Settings are the settings of one entry VM, as JSON.
type Settings struct {
	// Name is the VM's name in the platform's list.
	Name pimentotarget.EntryName `json:"name"`
	// Region and Domain are where the VM is.
	Region pimentoregister.RegionName `json:"region"`
	Domain pimentoregister.DomainName `json:"domain"`
	// Callers, Peers and Admin are the addresses to listen on, IP and port each.
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
	// Platform lists the replicas of the platform's service.
	Platform []string `json:"platform"`
	// Config is the name of the configuration value.
	Config string `json:"config"`
	// Log is the least level that is logged: debug, info, warn or error.
	Log string `json:"log"`
	// Grace is the time in milliseconds for which an entry that stops still
	// takes new requests, while the balancer takes it out.
	Grace pimentoregister.Millis `json:"grace"`
	// Drain is the time in milliseconds that running requests have after that.
	Drain pimentoregister.Millis `json:"drain"`
	// Answers is the memory in bytes for kept answers.
	Answers int `json:"answers"`
	// Queue is the number of requests that may wait for each service.
	Queue int `json:"queue"`
	// Lag is the greatest lag in milliseconds of the platform's list of VMs.
	Lag pimentoregister.Millis `json:"lag"`
}

// DefaultSettings returns the values of the settings that a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		Config:  "config",
		Log:     "info",
		Grace:   3000,
		Drain:   90_000,
		Answers: 16 << 20,
		Queue:   256,
		Lag:     5000,
	}
}

// ParseSettings reads settings, lets override change them, and checks them.
func ParseSettings(data []byte, override func(*Settings)) (Settings, error) {
	s := DefaultSettings()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, &Error{Op: "settings", Kind: KindSettings, Err: err}
	}
	if override != nil {
		override(&s)
	}
	if err := s.check(); err != nil {
		return s, &Error{Op: "settings", Kind: KindSettings, Err: err}
	}
	return s, nil
}

func (s *Settings) check() error {
	for _, f := range []struct{ field, value string }{
		{"name", string(s.Name)}, {"region", string(s.Region)}, {"domain", string(s.Domain)}, {"config", s.Config},
	} {
		if f.value == "" {
			return fmt.Errorf("%s: a value is required", f.field)
		}
	}
	for _, f := range []struct{ field, value string }{
		{"callers", s.Callers}, {"peers", s.Peers}, {"admin", s.Admin},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return fmt.Errorf("%s: value %q: an address is IP:port", f.field, f.value)
		}
	}
	if len(s.Platform) == 0 {
		return fmt.Errorf("platform: at least one address is required")
	}
	for i, a := range s.Platform {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("platform[%d]: value %q: an address is IP:port", i, a)
		}
	}
	return s.checkNumbers()
}

func (s *Settings) checkNumbers() error {
	switch s.Log {
	case "debug", "info", "warn", "error":
	default:
		return fmt.Errorf("log: value %q: the levels are debug, info, warn and error", s.Log)
	}
	for _, f := range []struct {
		field        string
		value, limit int64
	}{
		{"grace", int64(s.Grace), 0},
		{"drain", int64(s.Drain), 1},
		{"answers", int64(s.Answers), 1},
		{"queue", int64(s.Queue), 1},
		{"lag", int64(s.Lag), 0},
	} {
		if f.value < f.limit {
			return fmt.Errorf("%s: value %d: the lower limit is %d", f.field, f.value, f.limit)
		}
	}
	return nil
}

func millis(m pimentoregister.Millis) time.Duration { return time.Duration(m) * time.Millisecond }
