package settings

import "time"

// What a host does with keys once nobody has proven for KeyProof that they are
// still in force.
const (
	// RefuseUnproven refuses all requests with keys: no key outlives its bound.
	RefuseUnproven UnprovenKeys = "refuse"
	// ServeUnproven goes on by the last configuration known: a key that was
	// taken away meanwhile stays in use until the host hears of it.
	ServeUnproven UnprovenKeys = "serve"
)

type (
	// UnprovenKeys is RefuseUnproven, which also holds where nothing is set,
	// or ServeUnproven.
	UnprovenKeys string

	// Entry are the settings of a daemon that serves as an entry host before
	// backend servers that speak for themselves: an immutable value.
	Entry struct {
		// Host names this host.
		Host string `yaml:"host" validate:"required,max=63"`
		// Hall is the data hall in which it stands.
		Hall   string      `yaml:"hall" validate:"required,max=63"`
		Listen EntryListen `yaml:"listen"`
		// Platform is the IP number and port of the platform's store.
		Platform string `yaml:"platform" validate:"required,ipport"`
		Bounds   Bounds `yaml:"bounds"`
		// Link is the bandwidth of the host's link in Mbit/s, 0 if it isn't
		// known. Hosts with wider links tell others what they read.
		Link float64 `yaml:"link" validate:"gte=0"`
		// FirstStart is set when all hosts of the site start for the first
		// time: each then waits for the others before it asks the platform.
		FirstStart bool `yaml:"first_start"`
	}

	// EntryListen has the addresses of an entry host, each an IP number and a
	// port.
	EntryListen struct {
		Callers   string `yaml:"callers" validate:"required,ipport"`
		Readiness string `yaml:"readiness" validate:"required,ipport"`
		Metrics   string `yaml:"metrics" validate:"required,ipport"`
		News      string `yaml:"news" validate:"required,ipport"`
	}

	// Bounds are what operators promise their callers.
	Bounds struct {
		// KeyProof is how long after a key is taken away it may still be
		// used.
		KeyProof time.Duration `yaml:"key_proof" validate:"gte=500ms,lte=10m"`
		// UnprovenKeys is what becomes of requests with keys when KeyProof has
		// passed without a proof that the keys are in force.
		UnprovenKeys UnprovenKeys `yaml:"unproven_keys" validate:"omitempty,oneof=refuse serve"`
		// Config is how long after a change an older configuration may be
		// used.
		Config time.Duration `yaml:"config" validate:"gte=100ms,lte=10m"`
		// Grace is the time from SIGTERM to the end of the process.
		Grace time.Duration `yaml:"grace" validate:"gte=1s,lte=1h"`
		// Retries bounds, over all hosts, what is sent to a second server.
		Retries Retries `yaml:"retries"`
	}

	// Retries is a share of a service's requests in any span, and a number
	// beside.
	Retries struct {
		Share float64       `yaml:"share" validate:"gte=0,lte=1"`
		Extra float64       `yaml:"extra" validate:"gte=0"`
		Span  time.Duration `yaml:"span" validate:"gte=1s,lte=10m"`
	}
)

// LoadEntry reads the settings of an entry host from a file and checks them.
func LoadEntry(path string) (Entry, error) {
	b, err := read(path, "give a file that can be read")
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(b)
}

// ParseEntry reads the settings of an entry host from YAML and checks them.
func ParseEntry(b []byte) (Entry, error) {
	var s Entry
	if err := ParseInto(b, &s); err != nil {
		return Entry{}, err
	}
	return s, nil
}
