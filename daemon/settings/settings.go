// Package settings reads and checks the settings of a daemon.
//
// Settings are YAML. Unknown keys are refused, and each value is checked when
// it is read; the message names the key, the value and the remedy. The
// defaults stand in [Default] and nowhere else.
//
// # Usage
//
//	s, err := settings.Load("slipcrankd.yaml")
//	s = s.WithHall("oslo-a")
package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"slipcrank.example/core/fault"
)

type (
	// Settings of one daemon: an immutable value.
	Settings struct {
		// Hall is the data hall in which the daemon runs.
		Hall string `yaml:"hall" validate:"required,max=63"`
		// Listen has the addresses that the daemon answers on.
		Listen Listen `yaml:"listen"`
		// Advertise has the addresses by which others know the daemon, where
		// they differ from those that it answers on.
		Advertise Advertise `yaml:"advertise"`
		// Platform is the IP number and port of the platform's service.
		Platform string `yaml:"platform" validate:"required,ipport"`
		// Bootstrap names a few other daemons by IP number and port.
		Bootstrap []string `yaml:"bootstrap" validate:"dive,ipport"`
		// OperatorTokenSHA256 is the hex digest of the operators' token.
		OperatorTokenSHA256 string  `yaml:"operator_token_sha256" validate:"required,len=64,hexadecimal"`
		TLS                 TLS     `yaml:"tls"`
		Trace               Trace   `yaml:"trace"`
		Limits              Limits  `yaml:"limits"`
		Periods             Periods `yaml:"periods"`
		Drain               Drain   `yaml:"drain"`
	}

	// Listen has the three addresses of a daemon, each an IP number and a
	// port.
	Listen struct {
		Callers   string `yaml:"callers" validate:"required,ipport"`
		Peers     string `yaml:"peers" validate:"required,ipport"`
		Operators string `yaml:"operators" validate:"required,ipport"`
	}

	// Advertise has the address, an IP number and a port, by which other
	// daemons reach and know this one; empty for that in [Listen].
	Advertise struct {
		Peers string `yaml:"peers" validate:"omitempty,ipport"`
	}

	// TLS names the PEM files for the connections between daemons. All three
	// or none are set.
	TLS struct {
		CertFile string `yaml:"cert_file" validate:"required_with=KeyFile CAFile"`
		KeyFile  string `yaml:"key_file" validate:"required_with=CertFile CAFile"`
		CAFile   string `yaml:"ca_file" validate:"required_with=CertFile KeyFile"`
	}

	// Trace says where spans go.
	Trace struct {
		Exporter string  `yaml:"exporter" validate:"oneof=none stdout file otlp"`
		File     string  `yaml:"file" validate:"required_if=Exporter file"`
		Endpoint string  `yaml:"endpoint" validate:"required_if=Exporter otlp,omitempty,ipport"`
		Ratio    float64 `yaml:"ratio" validate:"gte=0,lte=1"`
	}

	// Limits bound what one daemon takes in.
	Limits struct {
		BodyBytes   int     `yaml:"body_bytes" validate:"gte=1024,lte=268435456"`
		Requests    int     `yaml:"requests" validate:"gte=1,lte=1000000"`
		RetryPart   float64 `yaml:"retry_part" validate:"gte=0,lte=1"`
		Workers     int     `yaml:"workers" validate:"gte=4,lte=10000"`
		MaxAttempts int     `yaml:"max_attempts" validate:"gte=1,lte=10"`
	}

	// Periods of what a daemon does again and again.
	Periods struct {
		Heartbeat  time.Duration `yaml:"heartbeat" validate:"gte=100ms,lte=10s"`
		EnginePoll time.Duration `yaml:"engine_poll" validate:"gte=100ms,lte=5s"`
		Templates  time.Duration `yaml:"templates" validate:"gte=200ms,lte=5s"`
		Hosts      time.Duration `yaml:"hosts" validate:"gte=500ms,lte=60s"`
		Sync       time.Duration `yaml:"sync" validate:"gte=1s,lte=5m"`
		Lease      time.Duration `yaml:"lease" validate:"gte=2s,lte=60s"`
		Demand     time.Duration `yaml:"demand" validate:"gte=1s,lte=10m"`
	}

	// Drain bounds a planned stop.
	Drain struct {
		// Notice is how long the daemon answers "not ready" before it
		// refuses new requests, so that the balancer can see it.
		Notice time.Duration `yaml:"notice" validate:"gte=0s,lte=5m"`
		// Limit is the longest wait for requests in progress.
		Limit time.Duration `yaml:"limit" validate:"gte=1s,lte=2h"`
	}

	// Option changes settings under construction.
	Option func(*Settings)
)

// Default returns the settings that hold where the file says nothing.
func Default() Settings {
	return Settings{
		Trace: Trace{Exporter: "none", Ratio: 0.01},
		Limits: Limits{
			BodyBytes:   16 << 20,
			Requests:    4096,
			RetryPart:   0.1,
			Workers:     256,
			MaxAttempts: 3,
		},
		Periods: Periods{
			Heartbeat:  time.Second,
			EnginePoll: 500 * time.Millisecond,
			Templates:  2 * time.Second,
			Hosts:      1500 * time.Millisecond,
			Sync:       15 * time.Second,
			Lease:      10 * time.Second,
			Demand:     time.Minute,
		},
		Drain: Drain{Notice: 2 * time.Second, Limit: 30 * time.Minute},
	}
}

// Load reads settings from a file and checks them.
func Load(path string) (Settings, error) {
	b, err := read(path, "give a file that can be read with --settings")
	if err != nil {
		return Settings{}, err
	}
	return Parse(b)
}

// Parse reads settings from YAML and checks them.
func Parse(b []byte) (Settings, error) {
	s := Default()
	if err := decode(b, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Validate()
}

// read returns what a file holds, or a fault with the remedy.
func read(path, remedy string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Newf(fault.BadRequest, remedy, "the settings can't be read: %v", err)
	}
	return b, nil
}

// decode reads YAML into settings of either kind, refusing unknown keys.
func decode(b []byte, settings any) error {
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(settings); err != nil {
		return fault.Newf(fault.BadRequest,
			"mend the YAML; docs/OPERATIONS.md lists the keys",
			"the settings can't be read: %s", yaml.FormatError(err, false, false))
	}
	return nil
}

// WithHall returns a copy of s for a hall.
func (s Settings) WithHall(h string) Settings {
	s.Hall = h
	return s
}

// WithListen returns a copy of s that answers on these addresses.
func (s Settings) WithListen(l Listen) Settings {
	s.Listen = l
	return s
}

// WithBootstrap returns a copy of s that knows these daemons.
func (s Settings) WithBootstrap(addrs ...string) Settings {
	s.Bootstrap = append([]string(nil), addrs...)
	return s
}
