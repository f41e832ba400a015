package routing

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

func newRoute(name, host, prefix string) route.Route {
	return route.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Groups: []route.Share{{Group: "g", Weight: 1}}}
}

func TestFindLongestPrefixOfHost(t *testing.T) {
	index := NewIndex(route.Table{Routes: []route.Route{
		newRoute("short", "a.example", "/x/"),
		newRoute("long", "a.example", "/x/y/"),
		newRoute("other", "b.example", "/x/y/z/"),
	}}, nil)
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example", "/x/y/z/1", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/1", ""},
		{"b.example", "/x/y/1", ""},
		{"c.example", "/x/1", ""},
	}
	for _, test := range tests {
		got := ""
		if r := index.Find(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s goes to %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestInvalidRouteIsSkipped(t *testing.T) {
	bad := newRoute("bad", "a.example", "x/")
	invalid := 0
	index := NewIndex(route.Table{Routes: []route.Route{bad, newRoute("good", "a.example", "/y/")}}, func(*route.Route, error) { invalid++ })
	if invalid != 1 || index.Find("a.example", "/y/1") == nil {
		t.Errorf("%d invalid routes, valid route found: %t", invalid, index.Find("a.example", "/y/1") != nil)
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	var s Store
	for _, step := range []struct {
		version  uint64
		accepted bool
	}{{3, true}, {3, false}, {2, false}, {9, true}, {4, false}} {
		if got := s.Put(NewIndex(route.Table{Version: step.version}, nil)); got != step.accepted {
			t.Errorf("version %d accepted: %t, want %t", step.version, got, step.accepted)
		}
	}
	if s.Current().Table.Version != 9 {
		t.Errorf("current version is %d, want 9", s.Current().Table.Version)
	}
}
