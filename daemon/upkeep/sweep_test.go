package upkeep

import (
	"testing"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/member"
)

func TestOrphans(t *testing.T) {
	members := []member.Member{
		{Addr: "alive", Incarnation: 5},
		{Addr: "cut off", Incarnation: 5, Status: member.Dead},
		{Addr: "restarted", Incarnation: 9},
	}
	for name, tc := range map[string]struct {
		holding engine.Holding
		freed   bool
	}{
		"a living owner's":             {engine.Holding{Owner: "alive", Incarnation: 5, Expires: time.Second}, false},
		"a slow owner's":               {engine.Holding{Owner: "alive", Incarnation: 5, Expires: time.Millisecond}, false},
		"of one that is thought dead":  {engine.Holding{Owner: "cut off", Incarnation: 5, Expires: time.Second}, false},
		"of one that was never known":  {engine.Holding{Owner: "stranger", Incarnation: 5, Expires: time.Second}, false},
		"past its expiry":              {engine.Holding{Owner: "cut off", Incarnation: 5, Expires: 0}, true},
		"of an earlier life":           {engine.Holding{Owner: "restarted", Incarnation: 5, Expires: time.Hour}, true},
		"of the present life":          {engine.Holding{Owner: "restarted", Incarnation: 9, Expires: time.Hour}, false},
		"a stream, whoever started it": {engine.Holding{Kind: "stream", Owner: "restarted", Incarnation: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := len(orphans([]engine.Holding{tc.holding}, members)) == 1; got != tc.freed {
				t.Errorf("freed %v, want %v", got, tc.freed)
			}
		})
	}
}
