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

// The defaults of keys that a file does not set. Sizes are in bytes.
const (
	defaultClaimRetention = 48 * time.Hour
	defaultMaxRequestBody = 1 << 20
	// maxClaimedRequestBody is the default and the maximum of max-body for repeat "never". A node buffers such a body
	// before it calls the target, because the digest in the claim covers the whole body.
	maxClaimedRequestBody  = 256 << 10
	defaultMaxResponseBody = 64 << 20
	// defaultMaxStoredResponse is the default of max-answer for repeat "never": a claim stores the response, and up to
	// 64 KiB fit into its row.
	defaultMaxStoredResponse = 64 << 10
	defaultRank              = 255
)

// draft is a service before its values are checked. It is also the form in which a published configuration contains a
// service, so that service files and published configurations go through the same checks.
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
	Name        string `json:"name"`
	Rank        int64  `json:"rank"`
	TokenDigest string `json:"token-sha256,omitempty"`
}

type duration time.Duration

func (d duration) MarshalText() ([]byte, error) {
	return []byte(formatDuration(time.Duration(d))), nil
}

func (d *duration) UnmarshalText(text []byte) error {
	parsed, ok := parseDuration(string(text))
	if !ok {
		return hemlockerror.New("decode service", KindInvalid, "malformed duration")
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
		return hemlockerror.New("decode service", KindInvalid, "malformed size")
	}
	*s = size(parsed)
	return nil
}

// The values of the key repeat: "never" means that a request runs at most once and needs an idempotency key, "safe"
// that it is idempotent.
const (
	repeatNever = "never"
	repeatSafe  = "safe"
)

// service returns the service of a draft that passed its checks.
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
		s.notRunStatuses = append(s.notRunStatuses, int(status))
	}
	slices.Sort(s.notRunStatuses)
	for _, c := range d.Classes {
		s.classes = append(s.classes, c.rule(d.Name))
	}
	for _, c := range d.Customers {
		customer := Customer{Name: c.Name, Rank: uint8(c.Rank)}
		if c.TokenDigest != "" {
			customer.tokenDigest, _ = hex.DecodeString(c.TokenDigest)
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

// MarshalJSON returns the canonical encoding of the service: equal services give equal bytes.
func (s Service) MarshalJSON() ([]byte, error) {
	d := draft{
		Name:           s.Name,
		Slots:          int64(s.Slots),
		Connections:    int64(s.Connections),
		ClaimRetention: duration(s.ClaimRetention),
		DefaultClass:   s.DefaultClass,
		DefaultRank:    int64(s.DefaultRank),
	}
	for _, status := range s.notRunStatuses {
		d.NotRunStatuses = append(d.NotRunStatuses, int64(status))
	}
	for _, c := range s.classes {
		class := classDraft{
			Name:      c.Name,
			Priority:  c.Priority.String(),
			Repeat:    repeatSafe,
			Timeout:   duration(c.Timeout),
			Retries:   int64(c.RetryBudget),
			MaxBody:   size(c.MaxRequestBody),
			MaxAnswer: size(c.MaxResponseBody),
		}
		if c.AtMostOnce {
			class.Repeat = repeatNever
		}
		for _, p := range c.matches {
			class.Matches = append(class.Matches, matchDraft{Method: p.method, Path: p.path})
		}
		d.Classes = append(d.Classes, class)
	}
	for _, c := range s.customers {
		d.Customers = append(d.Customers, customerDraft{Name: c.Name, Rank: int64(c.Rank), TokenDigest: hex.EncodeToString(c.tokenDigest)})
	}
	return json.Marshal(d)
}

// UnmarshalJSON decodes the encoding of MarshalJSON. The values are checked by the same rules as those of service
// files; the error names only the first problem.
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
