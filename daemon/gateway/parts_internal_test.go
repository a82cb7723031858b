package gateway

import (
	"slices"
	"strings"
	"testing"
)

func TestParseSharedParts(t *testing.T) {
	for name, tc := range map[string]struct {
		header string
		want   []string
	}{
		"none":           {"", nil},
		"the last only":  {"a:1", nil},
		"three":          {"a:1,b:2,c:3", []string{"a", "b"}},
		"spaces":         {"a:1, b:2, c:3", []string{"a", "b"}},
		"twice the same": {"a:1,a:1,c:3", []string{"a"}},
		"no tokens":      {"a,b:2,c:3", []string{"b"}},
		"no ID":          {":1,b:2,c:3", []string{"b"}},
		"a long ID":      {strings.Repeat("a", 65) + ":1,b:2,c:3", []string{"b"}},
		"too many":       {strings.Repeat("x:1,", 3) + "a:1,b:1,c:1,d:1,e:1,f:1,g:1,h:1,i:1,j:1,k:1,l:1,m:1,n:1,o:1,p:1,q:1", []string{"x", "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o"}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := parseSharedParts(tc.header); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
