package reach

// maxControls is the number of other servers that are probed to find out whether a server
// that seems to have crashed is out of reach instead.
const maxControls = 8

// Controls returns a few of the first list that isn't empty, at random. Lists hold servers
// that must be reachable if the path to another one is sound, the most telling ones first.
func Controls[T any](lists ...[]T) []T {
	for _, l := range lists {
		if len(l) > 0 {
			return shuffled(l)[:min(maxControls, len(l))]
		}
	}
	return nil
}

// AnyReached probes servers at the same time, each started by start, and reports whether one
// of them is reached, as soon as that is known. It is true if there are none.
func AnyReached[T any](servers []T, start func(func()), probe func(T) bool) bool {
	results := make(chan bool, len(servers))
	for _, s := range servers {
		start(func() { results <- probe(s) })
	}
	for range servers {
		if <-results {
			return true
		}
	}
	return len(servers) == 0
}
