package schedule

// minHeardFraction is the fraction of the listed other hosts from which on a host follows
// the common order of engines. Below it, most of what runs on the engines is unknown.
const minHeardFraction = 0.5

// Policy says how a scheduler chooses among engines that are equally good. It is an
// immutable value; the zero value follows the common order of engines.
type Policy struct {
	spread bool
}

// WithSpread returns a copy that does or doesn't spread placements: leads are drawn by their
// free slots from enough engines that cost nearly the least, and from all that aren't known to
// be slow while this host has heard from few other hosts. The placements that other hosts
// make at the same time are then expected to be spread alike.
func (p Policy) WithSpread(on bool) Policy { p.spread = on; return p }

// SetPolicy sets the policy of the scheduler.
func (sc *Scheduler) SetPolicy(p Policy) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.policy = p
}

// KnowsLittle reports whether this host has heard from too few other hosts to judge engines by
// what it knows.
func (sc *Scheduler) KnowsLittle() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.heardFraction < minHeardFraction
}

// SetHeardFraction sets the fraction of the listed other hosts from which messages have
// arrived recently, from 0 to 1.
func (sc *Scheduler) SetHeardFraction(f float64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.heardFraction = f
}

// SetPrices sets what a second of an engine is worth to the work that competes for it, by
// service. Services without a price have the value of usual long prompts once engines are busy.
func (sc *Scheduler) SetPrices(byService map[string]float64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.prices = byService
}

// knowsLittle reports whether leads are drawn from nearly all engines: a host that knows little of what the
// others have placed would otherwise choose the first engines of the common order, as all
// hosts that know as little do.
func (sc *Scheduler) knowsLittle() bool {
	return sc.policy.spread && sc.heardFraction < minHeardFraction
}
