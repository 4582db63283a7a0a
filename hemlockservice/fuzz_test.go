package hemlockservice

import (
	"encoding/json"
	"reflect"
	"testing"
)

// Guards against a file that makes Parse panic or return a problem without position or message, and against a service
// that changes when it is encoded and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(ordersFile))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := Parse("f.hcl", text)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" {
				t.Errorf("problem %+v has no position or message", p)
			}
		}
		if len(problems) > 0 {
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Service
		if err := json.Unmarshal(encoded, &decoded); err != nil || !reflect.DeepEqual(s, decoded) {
			t.Errorf("%s decoded as %+v, error %v; want the encoded service and no error", encoded, decoded, err)
		}
		for _, c := range s.classes {
			for _, p := range c.matches {
				if _, ok := s.Match(p.method, p.path); !ok {
					t.Errorf("pattern %+v does not match its own method and path", p)
				}
			}
		}
	})
}

// Guards against a request path that makes matching panic, that matches no class although it is valid, or that reaches
// /orders under another spelling and so avoids the class that runs at most once.
func FuzzMatch(f *testing.F) {
	s, _ := Parse("orders.hcl", []byte(ordersFile))
	for _, p := range []string{"/orders", "//orders/?x", "/%2e%2e/orders", "/orders/..", "*", ""} {
		f.Add("POST", p)
	}
	f.Fuzz(func(t *testing.T, method, path string) {
		c, ok := s.Match(method, path)
		if canonical, valid := canonicalPath(path); valid != ok || valid && canonical == "/orders" && method == "POST" && !c.AtMostOnce {
			t.Errorf("%s %q matched %+v, found %v; want a class for each valid path, and at most once for POST /orders", method, path, c, ok)
		}
	})
}
