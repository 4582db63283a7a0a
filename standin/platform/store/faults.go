package store

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written like "150ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return errors.Errorf("invalid duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// Faults are the faults to inject. The rates are probabilities, between 0 and 1; the zero value injects none.
type Faults struct {
	// Delay is added to every call.
	Delay Duration `json:"delay"`
	// FailureRate is the rate of calls that fail with status 503 and without effect.
	FailureRate float64 `json:"fail-rate"`
	// LostReplyRate is the rate of writes whose reply is dropped after the write took effect.
	LostReplyRate float64 `json:"lose-rate"`
	// LateWriteRate is the rate of writes whose reply is dropped and that take effect only after LateWriteDelay.
	LateWriteRate float64 `json:"late-rate"`
	// LateWriteDelay is the delay of a late write.
	LateWriteDelay Duration `json:"late-by"`
	// Outage is "hang" or "refuse": all calls hang, or their connections are closed. Empty means no cut-off.
	Outage string `json:"cut-off"`
	// OutageDuration ends the cut-off after this time; 0 means until the faults are set again.
	OutageDuration Duration `json:"cut-off-for"`
	// Seed makes the sequence of faults reproducible for a sequential caller.
	Seed uint64 `json:"seed"`
}

func (f Faults) check() error {
	for _, rate := range []float64{f.FailureRate, f.LostReplyRate, f.LateWriteRate} {
		if rate < 0 || rate > 1 {
			return errors.Errorf("rate %v is not between 0 and 1", rate)
		}
	}
	if f.Outage != "" && f.Outage != "hang" && f.Outage != "refuse" {
		return errors.Errorf("cut-off %q is neither hang nor refuse", f.Outage)
	}
	return nil
}

func parseFaults(body []byte) (Faults, error) {
	var faults Faults
	if err := json.Unmarshal(body, &faults); err != nil {
		return Faults{}, errors.WithStack(err)
	}
	return faults, faults.check()
}

// callFaults are the faults of one call.
type callFaults struct {
	delay          time.Duration
	fails          bool
	losesReply     bool
	writesLate     bool
	lateWriteDelay time.Duration
	cutOff         string
	cutOffUntil    time.Time
}

// injector draws the faults of each call at random.
type injector struct {
	mutex     sync.Mutex
	faults    Faults
	random    *rand.Rand
	cutOffEnd time.Time
}

func newInjector() *injector {
	return &injector{random: rand.New(rand.NewPCG(0, 0))}
}

func (i *injector) set(faults Faults, now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.faults = faults
	i.random = rand.New(rand.NewPCG(faults.Seed, 0))
	i.cutOffEnd = time.Time{}
	if faults.OutageDuration > 0 {
		i.cutOffEnd = now.Add(time.Duration(faults.OutageDuration))
	}
}

func (i *injector) draw(now time.Time, writes bool) callFaults {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	f := i.faults
	drawn := callFaults{delay: time.Duration(f.Delay), lateWriteDelay: time.Duration(f.LateWriteDelay),
		cutOffUntil: i.cutOffEnd}
	if i.cutOffEnd.IsZero() || now.Before(i.cutOffEnd) {
		drawn.cutOff = f.Outage
	}
	drawn.fails = i.random.Float64() < f.FailureRate
	losesReply, writesLate := i.random.Float64() < f.LostReplyRate, i.random.Float64() < f.LateWriteRate
	drawn.writesLate = writes && writesLate
	drawn.losesReply = writes && losesReply && !writesLate
	return drawn
}
