package hemlockconfiguration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockservice"
)

// sampleConfiguration returns the configuration after the given number of publishes.
func sampleConfiguration(publishes int) Configuration {
	var c Configuration
	for i := range publishes {
		name := string(rune('a' + i%3))
		s, _ := hemlockservice.Parse("x.hcl", serviceFile(name, i+1).Text)
		change := &s
		if i%7 == 6 {
			change = nil
		}
		c = c.next(time.Now(), map[string]*hemlockservice.Service{name: change}, "n"+strings.Repeat("x", i%3))
	}
	return c
}

func compress(text []byte) []byte {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	_, _ = w.Write(text)
	_ = w.Close()
	return body.Bytes()
}

func assertCorrupt(t *testing.T, what string, body []byte, message string) {
	t.Helper()
	_, err := Decode(body)
	if err == nil || !strings.Contains(err.Error(), message) {
		t.Errorf("%s: error is %v, want %q", what, err, message)
	}
	assertKind(t, err, KindCorrupt)
}

// Guards against a part of a configuration that is lost when it is encoded and decoded.
func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sampleConfiguration(rapid.IntRange(1, 3*maxNonces/2).Draw(t, "publishes"))
		d, err := Decode(Encode(c))
		if err != nil || !reflect.DeepEqual(c, d) {
			t.Fatalf("decoded as %+v, error %v; want the encoded configuration and no error", d, err)
		}
	})
}

// Guards against a damaged body that is accepted as a configuration.
func TestDecodeRejectsDamagedBody(t *testing.T) {
	body := Encode(sampleConfiguration(5))
	for n := range body {
		_, err := Decode(body[:n])
		assertKind(t, err, KindCorrupt)
	}
	assertCorrupt(t, "truncated", body[:len(body)-9], "body is truncated")
	assertCorrupt(t, "bomb", compress(make([]byte, maxDecodedBytes+1)), "expands to more than 8388608 bytes")
	assertCorrupt(t, "oversize", make([]byte, maxEncodedBytes+1), "at most 4194304 are allowed")

	text, _ := decompress(body)
	replaced := func(from, to string) []byte { return compress(bytes.Replace(text, []byte(from), []byte(to), 1)) }
	assertCorrupt(t, "changed", replaced(`"slots":5,`, `"slots":2,`), "digest of the content")
	assertCorrupt(t, "newer", replaced(`"format":1`, `"format":2`), "format 2 is unknown; this program reads format 1")
	assertCorrupt(t, "trailing", compress(append(text, '1')), "unexpected data after the content")

	reencoded := func(from, to string) []byte {
		altered := bytes.Replace(sampleConfiguration(5).canonicalJSON(), []byte(from), []byte(to), 1)
		e, _ := json.Marshal(envelope{Format: formatVersion, Digest: digestOf(altered), Content: altered})
		return compress(e)
	}
	assertCorrupt(t, "version", reencoded(`"version":5`, `"version":4`), "but the configuration has version 4")
	assertCorrupt(t, "range", reencoded(`"slots":5,`, `"slots":0,`), "slots is 0")
	assertCorrupt(t, "key", reencoded(`"slots":5,`, `"slots":5,"x":1,`), "unknown field")
	assertCorrupt(t, "twice", reencoded(`"slots":5,`, `"slots":5,"slots":5,`), "canonical form")
	assertCorrupt(t, "nonce", reencoded(`"nonce":"n"`, `"nonce":""`), "nonce 0")
}

// Guards against input that makes Decode panic, and against a configuration that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	for _, n := range []int{0, 1, 5} {
		text, _ := decompress(Encode(sampleConfiguration(n)))
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		// Decode gets the text as it is and also compressed, as the fuzzer cannot generate valid gzip bodies.
		_, _ = Decode(text)
		c, err := Decode(compress(text))
		if err != nil {
			return
		}
		if d, err := Decode(Encode(c)); err != nil || !reflect.DeepEqual(c, d) {
			t.Errorf("decoded again as %+v, error %v; want the same configuration and no error", d, err)
		}
	})
}

// Guards against a node that returns to an older version, or that misses a change.
func TestHolderVersionNeverDecreases(t *testing.T) {
	h := NewHolder()
	s := h.Subscribe()
	var group sync.WaitGroup
	for first := range 8 {
		group.Go(func() {
			for v := first; v < 1000; v += 8 {
				h.Update(Configuration{Version: uint64(v)})
				if current := h.Current().Version; current < uint64(v) {
					t.Errorf("active version is %d after an update to version %d", current, v)
				}
			}
		})
	}
	group.Wait()
	<-s.Changes
	if h.Current().Version != 999 || h.Update(Configuration{Version: 999}) || h.Update(Configuration{Version: 3}) {
		t.Errorf("active version is %d, want 999 and no update to the same or an older version", h.Current().Version)
	}
	s.Close()
	s.Close()
	if h.Update(Configuration{Version: 1000}); len(s.Changes) != 0 {
		t.Error("a closed subscription was signalled")
	}
}
