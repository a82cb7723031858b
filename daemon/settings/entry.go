package settings

import "time"

// The values of UnprovenKeys.
const (
	// RefuseUnproven refuses all requests with API keys, so that no revoked key is
	// accepted for longer than Bounds.KeyProof.
	RefuseUnproven UnprovenKeys = "refuse"
	// ServeUnproven continues with the last configuration received. A key that has
	// been revoked since is accepted until the host receives the change.
	ServeUnproven UnprovenKeys = "serve"
)

type (
	// UnprovenKeys says how a host handles requests with API keys if it has had no
	// proof for Bounds.KeyProof that the keys are still valid. The empty value means
	// RefuseUnproven.
	UnprovenKeys string

	// Scarcity says how a host decides while callers ask for more than the engines have room
	// for. It takes effect when the settings change.
	Scarcity struct {
		// Placement says how engines are chosen that are equally good: ranked, in an order
		// common to all hosts, or spread over them by their free slots; with spread, streams
		// whose slots others would probably take first are refused. The empty value means
		// ranked.
		Placement string `yaml:"placement" validate:"omitempty,oneof=ranked spread"`
		// LateCallers says whether callers who were refused before, and can't be served in
		// time any more, are treated like others (equal) or yield to them. The empty value
		// means equal.
		LateCallers string `yaml:"late_callers" validate:"omitempty,oneof=equal yield"`
		// Urgency says whether requests are admitted by their length alone, or less urgent
		// ones are refused while more urgent ones of the same service are served less often
		// (ranked). The empty value means length.
		Urgency string `yaml:"urgency" validate:"omitempty,oneof=length ranked"`
		// Price says whether an engine's time has a fixed value once engines are busy, or
		// one that follows from demand. The empty value means fixed.
		Price string `yaml:"price" validate:"omitempty,oneof=fixed demand"`
	}

	// Entry has the settings of a daemon that serves as an entry host for plain
	// backend servers. It is an immutable value.
	Entry struct {
		// Host is the name of this host.
		Host string `yaml:"host" validate:"required,max=63"`
		// Hall is the data hall of this host.
		Hall string `yaml:"hall" validate:"required,max=63"`
		// Regions has the region of each data hall. It is needed where routes or
		// workspaces are restricted to regions.
		Regions map[string]string `yaml:"regions"`
		Listen  EntryListen       `yaml:"listen"`
		// Platform is the IP address and port of the platform's store.
		Platform string   `yaml:"platform" validate:"required,ipport"`
		Bounds   Bounds   `yaml:"bounds"`
		Scarcity Scarcity `yaml:"scarcity"`
		// Link is the bandwidth of the host's network link in Mbit/s, 0 if it is
		// unknown. Hosts with faster links relay to others what they read from
		// the platform.
		Link float64 `yaml:"link" validate:"gte=0"`
		// Source is the IP address from which connections to backend servers are opened;
		// if it is empty, the system chooses.
		Source string `yaml:"source" validate:"omitempty,ip"`
		// Memory is the host's memory for this process in MB, 0 if it is unknown.
		Memory float64 `yaml:"memory" validate:"gte=0"`
		// FirstStart is set if all hosts of the site start for the first time. Each
		// then waits for the others before it reads from the platform.
		FirstStart bool `yaml:"first_start"`
		// Seeds has the addresses of a few other hosts, possibly stale or down, each an
		// IP address and a port. A host that starts asks them where to get the
		// platform's tables. Only the IP addresses count: hosts are asked at the port of
		// Listen.News, which is the same on all.
		Seeds []string `yaml:"seeds" validate:"dive,ipport"`
	}

	// EntryListen has the listening addresses of an entry host, each an IP address
	// and a port.
	EntryListen struct {
		Callers   string `yaml:"callers" validate:"required,ipport"`
		Readiness string `yaml:"readiness" validate:"required,ipport"`
		Metrics   string `yaml:"metrics" validate:"required,ipport"`
		News      string `yaml:"news" validate:"required,ipport"`
		// Delegation is where other hosts send the requests that they can't serve
		// themselves, since they have no path to the servers. The port must be the same on
		// all hosts. Without it, the host neither accepts nor delegates requests.
		Delegation string `yaml:"delegation" validate:"omitempty,ipport"`
	}

	// Bounds has the limits that operators guarantee to their callers.
	Bounds struct {
		// KeyProof is the maximum time for which an API key is accepted after it
		// has been revoked.
		KeyProof time.Duration `yaml:"key_proof" validate:"gte=500ms,lte=10m"`
		// UnprovenKeys says whether requests with API keys are served or refused
		// after KeyProof has passed without a proof that the keys are valid.
		UnprovenKeys UnprovenKeys `yaml:"unproven_keys" validate:"omitempty,oneof=refuse serve"`
		// Config is the maximum time for which an old configuration is used after
		// a change.
		Config time.Duration `yaml:"config" validate:"gte=100ms,lte=10m"`
		// Grace is the time from SIGTERM to the end of the process.
		Grace time.Duration `yaml:"grace" validate:"gte=1s,lte=1h"`
		// Retries limits the requests that all hosts together send to a second
		// server.
		Retries Retries `yaml:"retries"`
	}

	// Retries limits the retries of a service in any period of length Span to Share
	// times its requests, plus Extra.
	Retries struct {
		Share float64       `yaml:"share" validate:"gte=0,lte=1"`
		Extra float64       `yaml:"extra" validate:"gte=0"`
		Span  time.Duration `yaml:"span" validate:"gte=1s,lte=10m"`
	}
)

// Spreads reports whether equally good engines are chosen by their free slots.
func (s Scarcity) Spreads() bool { return s.Placement == "spread" }

// Yields reports whether callers who can't be served in time yield to others.
func (s Scarcity) Yields() bool { return s.LateCallers == "yield" }

// Ranks reports whether admission follows the operators' priorities.
func (s Scarcity) Ranks() bool { return s.Urgency == "ranked" }

// Prices reports whether the value of an engine's time follows from demand.
func (s Scarcity) Prices() bool { return s.Price == "demand" }

// Counts reports whether any rule needs the counts of demand.
func (s Scarcity) Counts() bool { return s.Yields() || s.Ranks() || s.Prices() }

// LoadEntry reads the settings of an entry host from a file and validates them.
func LoadEntry(path string) (Entry, error) {
	b, err := readFile(path, "give a file that can be read")
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(b)
}

// ParseEntry reads the settings of an entry host from YAML and validates them.
func ParseEntry(b []byte) (Entry, error) {
	var s Entry
	if err := ParseInto(b, &s); err != nil {
		return Entry{}, err
	}
	return s, nil
}
