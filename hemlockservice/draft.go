package hemlockservice

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// The limits that files get when they do not set their own.
const (
	defaultClaimRetention = 48 * time.Hour
	defaultMaxBody        = 1 << 20
	// maxClaimedBody is what a node reads of a body before the call: the digest of a claim covers the whole body.
	maxClaimedBody   = 256 << 10
	defaultMaxAnswer = 64 << 20
	// A claim stores the response of a class that is never repeated; up to 64 KiB fits into its row.
	defaultMaxStoredAnswer = 64 << 10
	defaultRank            = 255
)

// draft is a service before its values have been checked. It is also the form in which a published configuration
// carries a service, so that both ways go through the same checks.
type draft struct {
	Name           string          `json:"name"`
	Slots          int64           `json:"slots"`
	Connections    int64           `json:"connections"`
	NotRunStatuses []int64         `json:"not-run-statuses,omitempty"`
	ClaimRetention duration        `json:"claim-retention"`
	DefaultClass   string          `json:"default-class,omitempty"`
	DefaultRank    int64           `json:"default-rank"`
	Classes        []classDraft    `json:"classes,omitempty"`
	Customers      []customerDraft `json:"customers,omitempty"`
}

type classDraft struct {
	Name      string       `json:"name"`
	Matches   []matchDraft `json:"matches,omitempty"`
	Priority  string       `json:"priority"`
	Repeat    string       `json:"repeat"`
	Timeout   duration     `json:"timeout"`
	Retries   int64        `json:"retries"`
	MaxBody   size         `json:"max-body"`
	MaxAnswer size         `json:"max-answer"`
}

type matchDraft struct {
	Method string `json:"method,omitempty"`
	Path   string `json:"path"`
}

type customerDraft struct {
	Name   string `json:"name"`
	Rank   int64  `json:"rank"`
	Digest string `json:"token-sha256,omitempty"`
}

type duration time.Duration

func (d duration) MarshalText() ([]byte, error) {
	return []byte(formatDuration(time.Duration(d))), nil
}

func (d *duration) UnmarshalText(text []byte) error {
	parsed, ok := parseDuration(string(text))
	if !ok {
		return hemlockerror.New("decode service", KindInvalid, "bad duration")
	}
	*d = duration(parsed)
	return nil
}

type size int64

func (s size) MarshalText() ([]byte, error) {
	return []byte(formatSize(int64(s))), nil
}

func (s *size) UnmarshalText(text []byte) error {
	parsed, ok := parseSize(string(text))
	if !ok {
		return hemlockerror.New("decode service", KindInvalid, "bad size")
	}
	*s = size(parsed)
	return nil
}

const (
	repeatNever = "never"
	repeatSafe  = "safe"
)

// service returns the immutable value of a draft that passed its checks.
func (d draft) service() Service {
	s := Service{
		Name:           d.Name,
		Slots:          int(d.Slots),
		Connections:    int(d.Connections),
		ClaimRetention: time.Duration(d.ClaimRetention),
		DefaultClass:   d.DefaultClass,
		DefaultRank:    uint8(d.DefaultRank),
	}
	for _, status := range d.NotRunStatuses {
		s.notRun = append(s.notRun, int(status))
	}
	slices.Sort(s.notRun)
	for _, c := range d.Classes {
		s.classes = append(s.classes, c.rule(d.Name))
	}
	for _, c := range d.Customers {
		customer := Customer{Name: c.Name, Rank: uint8(c.Rank)}
		if c.Digest != "" {
			customer.digest, _ = hex.DecodeString(c.Digest)
		}
		s.customers = append(s.customers, customer)
	}
	return s
}

func (c classDraft) rule(service string) ClassRule {
	priority, _ := hemlockcall.ParsePriority(c.Priority)
	rule := ClassRule{
		Class: hemlockcall.Class{
			Service:     service,
			Name:        c.Name,
			Priority:    priority,
			AtMostOnce:  c.Repeat == repeatNever,
			Timeout:     time.Duration(c.Timeout),
			RetryBudget: int(c.Retries),
		},
		MaxRequestBody:  int64(c.MaxBody),
		MaxResponseBody: int64(c.MaxAnswer),
	}
	for _, m := range c.Matches {
		rule.matches = append(rule.matches, pattern{method: m.Method, path: m.Path})
	}
	return rule
}

// MarshalJSON returns the canonical form of the service: equal services give equal bytes.
func (s Service) MarshalJSON() ([]byte, error) {
	d := draft{
		Name:           s.Name,
		Slots:          int64(s.Slots),
		Connections:    int64(s.Connections),
		ClaimRetention: duration(s.ClaimRetention),
		DefaultClass:   s.DefaultClass,
		DefaultRank:    int64(s.DefaultRank),
	}
	for _, status := range s.notRun {
		d.NotRunStatuses = append(d.NotRunStatuses, int64(status))
	}
	for _, c := range s.classes {
		one := classDraft{
			Name:      c.Name,
			Priority:  c.Priority.String(),
			Repeat:    repeatSafe,
			Timeout:   duration(c.Timeout),
			Retries:   int64(c.RetryBudget),
			MaxBody:   size(c.MaxRequestBody),
			MaxAnswer: size(c.MaxResponseBody),
		}
		if c.AtMostOnce {
			one.Repeat = repeatNever
		}
		for _, p := range c.matches {
			one.Matches = append(one.Matches, matchDraft{Method: p.method, Path: p.path})
		}
		d.Classes = append(d.Classes, one)
	}
	for _, c := range s.customers {
		d.Customers = append(d.Customers, customerDraft{Name: c.Name, Rank: int64(c.Rank), Digest: hex.EncodeToString(c.digest)})
	}
	return json.Marshal(d)
}

// UnmarshalJSON reads what MarshalJSON wrote, under the rules that hold for service files.
func (s *Service) UnmarshalJSON(text []byte) error {
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	var d draft
	if err := decoder.Decode(&d); err != nil {
		return hemlockerror.Wrap("decode service", KindInvalid, err)
	}
	r := newReporter("service " + d.Name)
	d.check(r)
	if len(r.problems) > 0 {
		return hemlockerror.New("decode service", KindInvalid, r.problems[0].Message)
	}
	*s = d.service()
	return nil
}
