package main

// cases has the cases by name. Each reports whether the rule was broken, and in which words.
var cases = map[string]func(f *fleet, trouble bool) (bool, string, error){
	"budget": budget,
	"drain":  drain,
	"config": config,
}

func routes() []route {
	return []route{
		{Name: "r-safe", Host: host, Prefix: "/safe/", Kind: "safe", Timeout: 10000, SLO: 300, Priority: 2, Service: "app", Attempts: 2},
		{Name: "r-once", Host: host, Prefix: "/once/", Kind: "unsafe", Timeout: 10000, SLO: 300, Priority: 2, Service: "app", Attempts: 1},
		{Name: "r-ask", Host: host, Prefix: "/ask/", Kind: "streaming", Timeout: 15000, SLO: 1500, Priority: 1, Service: "llm", Attempts: 2, Resume: true, GapAim: 600, Affinity: true},
		{Name: "r-one", Host: host, Prefix: "/one/", Kind: "streaming", Timeout: 15000, SLO: 1500, Priority: 1, Service: "llm", Attempts: 2, GapAim: 600, Affinity: true},
	}
}

func services() []service {
	return []service{
		{Name: "llm", Health: "/health", MaxConns: 274, Protocol: "h1", Engine: smallEngine()},
		{Name: "app", Health: "/health", MaxConns: 110, Protocol: "h1"},
	}
}

func tenants() []tenant {
	return []tenant{{Name: owner, Keys: []string{key, otherKey}, Priority: 1}}
}
