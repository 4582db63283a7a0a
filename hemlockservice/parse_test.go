package hemlockservice

import (
	"strings"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

const ordersFile = `service "orders" {
  slots            = 140
  connections      = 950
  not-run-statuses = [503, 429]
  claim-retention  = "48h"
  default-class    = "browsing"
  default-rank     = 9
  class "booking" {
    match {
      method = "POST"
      path   = "/orders"
    }
    priority   = "critical"
    repeat     = "never"
    timeout    = "3s"
    retries    = 2
    max-answer = "64KiB"
  }
  class "status" {
    match {
      path = "/orders/*"
    }
    priority = "important"
    repeat   = "safe"
    timeout  = "1s500ms"
  }
  class "browsing" {
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "2s"
  }
  customer "arusha-hotel" {
    rank         = 1
    token-sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
  }
  customer "tailor" {
    rank = 2
  }
}
`

func mustParse(t *testing.T, text string) Service {
	t.Helper()
	s, problems := Parse("orders.hcl", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return s
}

func assertClass(t *testing.T, s Service, method, path, want string) {
	t.Helper()
	c, ok := s.Match(method, path)
	if c.Name != want || ok != (want != "") {
		t.Errorf("%s %s matched %q, %v; want %q", method, path, c.Name, ok, want)
	}
}

// Guards against a value of the file that is missing or different in the parsed service.
func TestParseReadsEveryKey(t *testing.T) {
	s := mustParse(t, ordersFile)
	booking, _ := s.Class("booking")
	want := hemlockcall.Class{Service: "orders", Name: "booking", Priority: hemlockcall.Critical, AtMostOnce: true,
		Timeout: 3 * time.Second, RetryBudget: 2}
	if booking.Class != want || booking.MaxResponseBody != 64<<10 || booking.MaxRequestBody != maxClaimedRequestBody {
		t.Errorf("booking is %+v, want the class and the limits of the file", booking)
	}
	if s.Slots != 140 || s.Connections != 950 || s.ClaimRetention != 48*time.Hour || s.DefaultRank != 9 {
		t.Errorf("service is %+v, want the values of the file", s)
	}
	if !s.IsNotRunStatus(503) || !s.IsNotRunStatus(429) || s.IsNotRunStatus(500) {
		t.Errorf("not-run-statuses are %v, want 429 and 503", s.NotRunStatuses())
	}
}

// Guards against a caller that is served under the name of another customer, and against a token that is not checked.
func TestCustomerRequiresToken(t *testing.T) {
	s := mustParse(t, ordersFile)
	for _, c := range []struct {
		name, token string
		ok          bool
	}{{"arusha-hotel", "secret", true}, {"arusha-hotel", "Secret", false}, {"arusha-hotel", "", false},
		{"tailor", "", true}, {"tailor", "any", true}, {"nobody", "secret", false}, {"", "", false}} {
		customer, ok := s.Customer(c.name, c.token)
		if ok != c.ok || ok && customer.Name != c.name {
			t.Errorf("customer %q with token %q gave %+v, found %v; want the customer only if it needs no token or this is its own", c.name, c.token, customer, ok)
		}
	}
}

// Guards against a request that avoids its class, and with it the claim, by another spelling of its path.
func TestMatchIgnoresSpellingOfPath(t *testing.T) {
	s := mustParse(t, ordersFile)
	for _, path := range []string{"/orders", "/orders/", "//orders", "/./orders", "/x/../orders", "/%6frders", "/orders?a=b", "/orders%2F"} {
		assertClass(t, s, "POST", path, "booking")
		assertClass(t, s, "post", path, "booking")
		assertClass(t, s, "GET", path, "status")
	}
	assertClass(t, s, "GET", "/orders/7/lines", "status")
	assertClass(t, s, "GET", "/ordersheet", "browsing")
	assertClass(t, s, "GET", "/%zz", "")
	assertClass(t, s, "GET", "orders", "")
}

// Guards against a match that depends on the order of the match blocks in the file instead of on the most specific one.
func TestMatchPrefersMostSpecificBlock(t *testing.T) {
	class := func(name, match string) string {
		return "class \"" + name + "\" {\n match {\n" + match + "\n}\npriority = \"sheddable\"\nrepeat = \"safe\"\ntimeout = \"1s\"\n}\n"
	}
	s := mustParse(t, "service \"s\" {\nslots = 1\nconnections = 1\n"+
		class("all", `path = "/*"`)+class("deep", `path = "/a/*"`)+class("exact", `path = "/a/b"`)+
		class("put", "path = \"/a/*\"\nmethod = \"PUT\"")+"}\n")
	assertClass(t, s, "GET", "/z", "all")
	assertClass(t, s, "GET", "/a/c", "deep")
	assertClass(t, s, "PUT", "/a/c", "put")
	assertClass(t, s, "PUT", "/a/b", "exact")
}

// Guards against problems that are reported only one at a time, at the wrong position or twice.
func TestParseReportsAllProblemsWithPositions(t *testing.T) {
	text := strings.NewReplacer(`"critical"`, `"urgent"`, `"3s"`, `3`, `retries    = 2`, `retries    = 99`,
		`slots            = 140`, `slotz            = 140`, `rank = 2`, `rank = "2"`, `"64KiB"`, `"64KB"`,
		`path = "/orders/*"`, "path = \"/orders\"\n      method = \"POST\"", "9\n", "9\n  default-rank     = 8\n",
		`default-class    = "browsing"`, `default-class    = "other"`).Replace(ordersFile)
	_, problems := Parse("f.hcl", []byte(text))
	assertLines(t, problems, []string{
		`f.hcl:1:1: key "slots" is missing`,
		`f.hcl:2:3: unknown key "slotz"; allowed are`,
		`f.hcl:6:22: default-class "other" is not a class of this file`,
		`f.hcl:8:3: Attribute redefined`,
		`f.hcl:14:18: priority "urgent" is unknown`,
		`f.hcl:16:18: timeout has to be a quoted whole duration`,
		`f.hcl:17:18: retries is 99; allowed is 0 to 16`,
		`f.hcl:18:18: max-answer has to be a quoted whole size`,
		`f.hcl:21:5: this match block can never match: class "booking"`,
		`f.hcl:29:9: class "browsing" can never match`,
		`f.hcl:39:12: rank has to be a whole number`,
	})
}

// Guards against a max-body above what a node buffers of a request with repeat "never".
func TestMaxBodyOfRepeatNeverIsLimited(t *testing.T) {
	text := strings.Replace(ordersFile, `"64KiB"`, "\"64KiB\"\n    max-body   = \"257KiB\"", 1)
	_, problems := Parse("f.hcl", []byte(text))
	assertLines(t, problems, []string{`f.hcl:18:18: max-body is 257KiB`})
}

// Guards against a file that exhausts the stack of the HCL parser, which ends the process as no recover can catch it.
func TestParseRejectsDeepNesting(t *testing.T) {
	for _, text := range []string{"(", "[", "{a=", `"${`, "!", "a?b:", "!\n", "b {\n"} {
		_, problems := Parse("f.hcl", []byte("a = ("+strings.Repeat(text, 30_000)))
		if len(problems) != 1 || !strings.Contains(problems.Error(), "nested more than 32 deep") {
			t.Errorf("%q repeated gave %d problems, want one that names the maximum nesting", text, len(problems))
		}
	}
}

func assertLines(t *testing.T, problems Problems, want []string) {
	t.Helper()
	if len(problems) != len(want) {
		t.Fatalf("%d problems, want %d:\n%v", len(problems), len(want), problems)
	}
	for i, p := range problems {
		if !strings.HasPrefix(p.String(), want[i]) {
			t.Errorf("problem %d is\n%v\nwant\n%v", i, p, want[i])
		}
	}
}
