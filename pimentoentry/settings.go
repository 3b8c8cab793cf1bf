package pimentoentry

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentosettings"
	"pimentoarch/pimentotarget"
)

// Settings are the settings of one entry VM, read from a JSON file.
type Settings struct {
	// Name is the VM's name in the platform's list.
	Name pimentotarget.EntryName `json:"name"`
	// Region and Domain are the region and the failure domain of the VM.
	Region pimentoregister.RegionName `json:"region"`
	Domain pimentoregister.DomainName `json:"domain"`
	// Callers, Peers and Admin are the addresses (IP and port) to listen on for
	// callers, other entries and operators.
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
	// Platform lists the addresses of the replicas of the platform's service.
	Platform []string `json:"platform"`
	// Config is the name under which the platform publishes the configuration.
	Config string `json:"config"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	Log string `json:"log"`
	// Grace is the time in milliseconds for which a stopping entry still accepts
	// new requests, while the platform's balancer removes it from rotation.
	Grace pimentoregister.Millis `json:"grace"`
	// Drain is the time in milliseconds after Grace in which running requests
	// must end.
	Drain pimentoregister.Millis `json:"drain"`
	// MaxLedgerBytes bounds the memory in bytes of key records and of the responses
	// that are stored for resends.
	MaxLedgerBytes int `json:"answers"`
	// HeldMiB bounds in MiB the bodies of requests that are held at a time.
	HeldMiB int `json:"held"`
	// MaxQueue bounds the requests that wait for a target, for each service.
	MaxQueue int `json:"queue"`
	// MaxListLag is the maximum lag in milliseconds of the platform's list of VMs.
	MaxListLag pimentoregister.Millis `json:"lag"`
}

// DefaultSettings returns the settings that apply unless the file sets them.
func DefaultSettings() Settings {
	return Settings{
		Config:         "config",
		Log:            "info",
		Grace:          3000,
		Drain:          90_000,
		MaxLedgerBytes: 16 << 20,
		HeldMiB:        64,
		MaxQueue:       256,
		MaxListLag:     5000,
	}
}

// ParseSettings parses data as JSON settings over the defaults, calls override
// unless it is nil, and checks the result. Unknown fields are errors. The error is
// an *Error of KindSettings.
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

// check returns the first error in the settings.
func (s *Settings) check() error {
	if err := cmp.Or(
		pimentosettings.Required("name", string(s.Name)),
		pimentosettings.Required("region", string(s.Region)),
		pimentosettings.Required("domain", string(s.Domain)),
		pimentosettings.Required("config", s.Config),
		pimentosettings.Address("callers", s.Callers),
		pimentosettings.Address("peers", s.Peers),
		pimentosettings.Address("admin", s.Admin),
	); err != nil {
		return err
	}
	if len(s.Platform) == 0 {
		return fmt.Errorf("platform: at least one address is required")
	}
	for i, a := range s.Platform {
		if err := pimentosettings.Address(fmt.Sprintf("platform[%d]", i), a); err != nil {
			return err
		}
	}
	return s.checkNumbers()
}

// checkNumbers returns the first error in the log level and the numbers.
func (s *Settings) checkNumbers() error {
	return cmp.Or(
		pimentosettings.LogLevel(s.Log),
		pimentosettings.AtLeast("grace", s.Grace, 0),
		pimentosettings.AtLeast("drain", s.Drain, 1),
		pimentosettings.AtLeast("answers", s.MaxLedgerBytes, 1),
		pimentosettings.AtLeast("held", s.HeldMiB, 1),
		pimentosettings.AtLeast("queue", s.MaxQueue, 1),
		pimentosettings.AtLeast("lag", s.MaxListLag, 0),
	)
}

// millis converts milliseconds to a duration.
func millis(m pimentoregister.Millis) time.Duration { return time.Duration(m) * time.Millisecond }
