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
		{Addr: "partitioned", Incarnation: 5, Status: member.Dead},
		{Addr: "restarted", Incarnation: 9},
	}
	for name, tc := range map[string]struct {
		holding engine.Holding
		orphan  bool
	}{
		"owner alive":                 {engine.Holding{Owner: "alive", Incarnation: 5, Expires: time.Second}, false},
		"owner alive, expires soon":   {engine.Holding{Owner: "alive", Incarnation: 5, Expires: time.Millisecond}, false},
		"owner considered dead":       {engine.Holding{Owner: "partitioned", Incarnation: 5, Expires: time.Second}, false},
		"owner unknown":               {engine.Holding{Owner: "unknown", Incarnation: 5, Expires: time.Second}, false},
		"expired":                     {engine.Holding{Owner: "partitioned", Incarnation: 5, Expires: 0}, true},
		"earlier incarnation":         {engine.Holding{Owner: "restarted", Incarnation: 5, Expires: time.Hour}, true},
		"current incarnation":         {engine.Holding{Owner: "restarted", Incarnation: 9, Expires: time.Hour}, false},
		"stream, earlier incarnation": {engine.Holding{Kind: "stream", Owner: "restarted", Incarnation: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := len(orphans([]engine.Holding{tc.holding}, members)) == 1; got != tc.orphan {
				t.Errorf("orphan is %v, want %v", got, tc.orphan)
			}
		})
	}
}
