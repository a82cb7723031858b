// Package settings reads and validates the settings of a daemon.
//
// Settings are YAML. Unknown keys are refused, and all values are validated when the
// settings are read; the error names the key, the value and the remedy. [Default]
// has all default values.
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
	// Settings has the settings of one daemon. It is an immutable value.
	Settings struct {
		// Hall is the data hall in which the daemon runs.
		Hall string `yaml:"hall" validate:"required,max=63"`
		// Listen has the addresses on which the daemon listens.
		Listen Listen `yaml:"listen"`
		// Advertise has the addresses that other daemons use for this one, if they
		// differ from those in Listen.
		Advertise Advertise `yaml:"advertise"`
		// Platform is the IP address and port of the platform's service.
		Platform string `yaml:"platform" validate:"required,ipport"`
		// Bootstrap has the IP addresses and ports of a few other daemons.
		Bootstrap []string `yaml:"bootstrap" validate:"dive,ipport"`
		// OperatorTokenSHA256 is the SHA-256 digest of the operators' token, in hex.
		OperatorTokenSHA256 string  `yaml:"operator_token_sha256" validate:"required,len=64,hexadecimal"`
		TLS                 TLS     `yaml:"tls"`
		Trace               Trace   `yaml:"trace"`
		Limits              Limits  `yaml:"limits"`
		Periods             Periods `yaml:"periods"`
		Drain               Drain   `yaml:"drain"`
	}

	// Listen has the listening addresses of a daemon, each an IP address and a port.
	Listen struct {
		Callers   string `yaml:"callers" validate:"required,ipport"`
		Peers     string `yaml:"peers" validate:"required,ipport"`
		Operators string `yaml:"operators" validate:"required,ipport"`
	}

	// Advertise has the address, an IP address and a port, by which other daemons
	// reach and identify this one. If it is empty, they use the one in [Listen].
	Advertise struct {
		Peers string `yaml:"peers" validate:"omitempty,ipport"`
	}

	// TLS has the paths of the PEM files for connections between daemons. Either all
	// three are set or none.
	TLS struct {
		CertFile string `yaml:"cert_file" validate:"required_with=KeyFile CAFile"`
		KeyFile  string `yaml:"key_file" validate:"required_with=CertFile CAFile"`
		CAFile   string `yaml:"ca_file" validate:"required_with=CertFile KeyFile"`
	}

	// Trace configures the export of trace spans.
	Trace struct {
		Exporter string  `yaml:"exporter" validate:"oneof=none stdout file otlp"`
		File     string  `yaml:"file" validate:"required_if=Exporter file"`
		Endpoint string  `yaml:"endpoint" validate:"required_if=Exporter otlp,omitempty,ipport"`
		Ratio    float64 `yaml:"ratio" validate:"gte=0,lte=1"`
	}

	// Limits has the limits on what one daemon accepts.
	Limits struct {
		BodyBytes   int     `yaml:"body_bytes" validate:"gte=1024,lte=268435456"`
		Requests    int     `yaml:"requests" validate:"gte=1,lte=1000000"`
		RetryPart   float64 `yaml:"retry_part" validate:"gte=0,lte=1"`
		Workers     int     `yaml:"workers" validate:"gte=4,lte=10000"`
		MaxAttempts int     `yaml:"max_attempts" validate:"gte=1,lte=10"`
	}

	// Periods has the periods of the periodic tasks of a daemon.
	Periods struct {
		Heartbeat  time.Duration `yaml:"heartbeat" validate:"gte=100ms,lte=10s"`
		EnginePoll time.Duration `yaml:"engine_poll" validate:"gte=100ms,lte=5s"`
		Templates  time.Duration `yaml:"templates" validate:"gte=200ms,lte=5s"`
		Hosts      time.Duration `yaml:"hosts" validate:"gte=500ms,lte=60s"`
		Sync       time.Duration `yaml:"sync" validate:"gte=1s,lte=5m"`
		Lease      time.Duration `yaml:"lease" validate:"gte=2s,lte=60s"`
		Demand     time.Duration `yaml:"demand" validate:"gte=1s,lte=10m"`
	}

	// Drain has the time limits of a planned stop.
	Drain struct {
		// Notice is how long the daemon reports "not ready" before it refuses new
		// requests, so that the load balancer notices in time.
		Notice time.Duration `yaml:"notice" validate:"gte=0s,lte=5m"`
		// Limit is the maximum wait for requests in progress.
		Limit time.Duration `yaml:"limit" validate:"gte=1s,lte=2h"`
	}

	// Option changes a setting.
	Option func(*Settings)
)

// Default returns the default settings. Required settings are empty.
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

// Load reads settings from a file and validates them.
func Load(path string) (Settings, error) {
	b, err := readFile(path, "give a file that can be read with --settings")
	if err != nil {
		return Settings{}, err
	}
	return Parse(b)
}

// Parse reads settings from YAML and validates them.
func Parse(b []byte) (Settings, error) {
	s := Default()
	if err := decode(b, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Validate()
}

// readFile returns the content of a file, or a fault with the given remedy.
func readFile(path, remedy string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Newf(fault.BadRequest, remedy, "the settings can't be read: %v", err)
	}
	return b, nil
}

// decode decodes YAML into settings, a pointer to a struct. It refuses unknown keys.
func decode(b []byte, settings any) error {
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(settings); err != nil {
		return fault.Newf(fault.BadRequest,
			"mend the YAML; docs/OPERATIONS.md lists the keys",
			"the settings can't be read: %s", yaml.FormatError(err, false, false))
	}
	return nil
}

// WithHall returns a copy of s with the given hall.
func (s Settings) WithHall(h string) Settings {
	s.Hall = h
	return s
}

// WithListen returns a copy of s with the given listening addresses.
func (s Settings) WithListen(l Listen) Settings {
	s.Listen = l
	return s
}

// WithBootstrap returns a copy of s with the given bootstrap daemons.
func (s Settings) WithBootstrap(addrs ...string) Settings {
	s.Bootstrap = append([]string(nil), addrs...)
	return s
}
