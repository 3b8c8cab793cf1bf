package pimentoregister

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxBytes is the maximum size in bytes of one published value.
const MaxBytes = 1 << 20

// Names of the objects in a document. Each is unique within its type.
type (
	// RegionName names a region.
	RegionName string
	// DomainName names a failure domain. It is unique over all regions.
	DomainName string
	// ServiceName names a service.
	ServiceName string
	// VMName names a target VM.
	VMName string
	// OrganisationName names an organisation.
	OrganisationName string
)

// Revision is the platform's revision of the published document.
type Revision uint64

// Millis is a duration in milliseconds.
type Millis int64

// Class determines how a service's requests are queued, whether they are hedged, and
// whether its responses are slowed down between regions.
type Class string

const (
	// ClassRead is for cheap reads. Only these are hedged.
	ClassRead Class = "read"
	// ClassOnce is for services whose requests are mostly non-idempotent.
	ClassOnce Class = "once"
	// ClassBulk is for large responses that must not delay the other classes. Only
	// these are slowed down between regions.
	ClassBulk Class = "bulk"
)

// Document is the published inventory with its rules.
type Document struct {
	Regions       []Region       `json:"regions"`
	Services      []Service      `json:"services"`
	VMs           []VM           `json:"vms"`
	Organisations []Organisation `json:"organisations"`
	Rules         Rules          `json:"rules"`
}

// Region is a set of failure domains with low latency between them.
type Region struct {
	Name    RegionName   `json:"name"`
	Domains []DomainName `json:"domains"`
}

// Service is a set of interchangeable targets.
type Service struct {
	Name  ServiceName `json:"name"`
	Class Class       `json:"class"`
	// Slots is the number of requests that one target executes concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the number of open connections that one target can handle.
	MaxConnections int `json:"connections"`
	// ColdLimit is the number of outstanding requests that a cold target can handle.
	ColdLimit int `json:"cold"`
	// Warmup is the time under load in milliseconds after which a target is warm.
	Warmup Millis `json:"warmup"`
	// Timeout is the time limit of a request in milliseconds.
	Timeout Millis `json:"timeout"`
	// ProbePath is the path of the load endpoint. Empty means that targets of
	// this service are never probed.
	ProbePath string `json:"probe,omitempty"`
	// ProbeCost is the processing time of one probe in milliseconds.
	ProbeCost Millis `json:"cost,omitempty"`
	// ProbeBudget is the processing time in milliseconds per second that the probes
	// of all entries together may cost each target.
	ProbeBudget Millis `json:"budget,omitempty"`
	// RefusalStatuses lists the HTTP statuses that mean that a target did not
	// execute the request.
	RefusalStatuses []int `json:"refusals,omitempty"`
	// BootHeader names the response header whose value changes when a target
	// restarts.
	BootHeader string `json:"boot,omitempty"`
}

// VM is one target machine.
type VM struct {
	Name    VMName      `json:"name"`
	Service ServiceName `json:"service"`
	Domain  DomainName  `json:"domain"`
	// Address is the IP and port of the target.
	Address string `json:"address"`
}

// Organisation is a customer.
type Organisation struct {
	Name OrganisationName `json:"name"`
	// HomeRegions lists the only regions that may serve and store the organisation's
	// requests. Empty means any region.
	HomeRegions []RegionName `json:"home,omitempty"`
}

// Rules are the settings that operators add to the inventory.
type Rules struct {
	// OnceRoutes lists the routes whose requests are non-idempotent, and so must be
	// executed at most once.
	OnceRoutes []Route `json:"once,omitempty"`
	// OutOfService lists the failure domains that are out of service.
	OutOfService []DomainName `json:"out,omitempty"`
	// Links limits the traffic between regions.
	Links Links `json:"links"`
}

// Links limits the traffic between regions.
type Links struct {
	// CapacityMbps is the rate in Mbit/s at which all entries of a region together
	// may send to other regions.
	CapacityMbps int `json:"capacity"`
}

// Route selects requests by service, method and path prefix.
type Route struct {
	Service ServiceName `json:"service"`
	Method  string      `json:"method"`
	// PathPrefix is a prefix of the path below the service. Empty matches all.
	PathPrefix string `json:"path,omitempty"`
}

// Decode parses a document of at most MaxBytes. It returns an *Error of KindSize for
// larger ones, and of KindSyntax for invalid JSON, unknown fields and trailing data.
// It doesn't check the content.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, &Error{Op: "decode", Kind: KindSize, Err: fmt.Errorf("document has %d bytes, the limit is %d", len(data), MaxBytes)}
	}
	return decode(data)
}

// decode is Decode without the size limit, for parts whose size was checked before.
func decode(data []byte) (*Document, error) {
	d := new(Document)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(d); err != nil {
		return nil, &Error{Op: "decode", Kind: KindSyntax, Err: locate(data, dec.InputOffset(), err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{Op: "decode", Kind: KindSyntax, Err: fmt.Errorf("line %d: data after the end of the document", lineNumber(data, dec.InputOffset()))}
	}
	return d, nil
}

// locate adds the line and, if known, the field to a JSON error.
func locate(data []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("line %d: field %q: value is a JSON %s, want %s", lineNumber(data, typeErr.Offset), typeErr.Field, typeErr.Value, typeErr.Type)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = syntaxErr.Offset
	}
	return fmt.Errorf("line %d: %w", lineNumber(data, offset), err)
}

func lineNumber(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte{'\n'})
}
