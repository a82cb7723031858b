package broadcast

import "net/netip"

// Contacts finds the hosts that start, which know nothing of this host's placements. Hosts
// that are heard again after a silence don't count: when links are full, all of them may
// fall silent for a while, and what they were sent then would fill the links again. It is
// not safe for concurrent use.
type Contacts struct {
	known map[uint32]bool // starts of listed hosts that were alive once, by number
}

// NewContacts returns Contacts without any host.
func NewContacts() *Contacts { return &Contacts{known: map[uint32]bool{}} }

// Update returns the addresses of the other hosts of the cell that are alive, and were not
// at any call since they started.
func (c *Contacts) Update(hs Hosts, alive func(startNumber uint32) bool) []netip.AddrPort {
	var found []netip.AddrPort
	known := make(map[uint32]bool, len(c.known))
	for h := range hs.otherHosts() {
		switch {
		case c.known[h.StartNumber]:
			known[h.StartNumber] = true
		case alive(h.StartNumber):
			known[h.StartNumber] = true
			found = append(found, h.Addr)
		}
	}
	c.known = known
	return found
}
