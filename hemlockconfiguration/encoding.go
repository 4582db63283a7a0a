package hemlockconfiguration

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockservice"
)

const (
	// format changes with every change of the encoding that an older program would misread.
	format = 1
	// maxEncoded and maxDecoded bound what Publish writes and Decode accepts. A node has 32 MiB of memory; 52 services
	// with 20 classes and 100 customers each take about 1 MiB of JSON. The bound on the decompressed size stops a
	// small body that expands without end.
	maxEncoded = 4 << 20
	maxDecoded = 8 << 20
	// envelopeSize is more than the envelope adds to its content.
	envelopeSize = 1 << 10
	// maxServices bounds the services of a configuration, above the target size of 52.
	maxServices = 1024
)

// envelope is the encoded form: the digest covers the exact bytes of the content.
type envelope struct {
	Format  int             `json:"format"`
	Digest  string          `json:"digest"`
	Content json.RawMessage `json:"content"`
}

type content struct {
	Version  uint64                            `json:"version"`
	Services map[string]hemlockservice.Service `json:"services"`
	Changed  map[string]uint64                 `json:"changed"`
	Nonces   []nonce                           `json:"nonces"`
}

func digestOf(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// canonical returns the JSON that the digest covers; keys of maps are sorted.
func (c Configuration) canonical() []byte {
	text, err := json.Marshal(content{Version: c.Version, Services: c.Services, Changed: c.changed, Nonces: c.nonces})
	if err != nil {
		panic(errors.Wrap(err, "encode configuration")) // no value of these types can fail to encode
	}
	return text
}

// Encode returns the compressed form of the configuration for the store and for peers.
func Encode(c Configuration) []byte {
	canonical := c.canonical()
	text, err := json.Marshal(envelope{Format: format, Digest: digestOf(canonical), Content: canonical})
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	// Writes to a buffer do not fail.
	_, _ = w.Write(text)
	_ = w.Close()
	return body.Bytes()
}

// Decode returns the configuration that Encode was given. Every damaged, oversized or inconsistent body is an error
// of KindCorrupt.
func Decode(body []byte) (Configuration, error) {
	c, err := decode(body)
	if err != nil {
		return Configuration{}, hemlockerror.Wrap("decode configuration", KindCorrupt, err)
	}
	return c, nil
}

func decode(body []byte) (Configuration, error) {
	text, err := decompress(body)
	if err != nil {
		return Configuration{}, err
	}
	var e envelope
	if err := strictly(text, &e); err != nil {
		return Configuration{}, err
	}
	if e.Format != format {
		return Configuration{}, errors.Errorf("format %d is unknown; this program reads format %d", e.Format, format)
	}
	if actual := digestOf(e.Content); actual != e.Digest {
		return Configuration{}, errors.Errorf("digest of the content is %s, not %.64q", actual, e.Digest)
	}
	var inner content
	if err := strictly(e.Content, &inner); err != nil {
		return Configuration{}, err
	}
	c := Configuration{
		Version:  inner.Version,
		Digest:   e.Digest,
		Services: inner.Services,
		changed:  inner.Changed,
		nonces:   inner.Nonces,
	}
	if err := c.check(); err != nil {
		return Configuration{}, err
	}
	// JSON allows many spellings of one value. Accepting one alone keeps the digest the same on every node.
	if !bytes.Equal(c.canonical(), e.Content) {
		return Configuration{}, errors.New("content is not in canonical form")
	}
	return c, nil
}

func decompress(body []byte) ([]byte, error) {
	if len(body) > maxEncoded {
		return nil, errors.Errorf("body has %d bytes; allowed are %d", len(body), maxEncoded)
	}
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "not a gzip body")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDecoded+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errors.Wrap(err, "body is truncated")
	}
	if err != nil {
		return nil, errors.Wrap(err, "damaged gzip body")
	}
	if len(text) > maxDecoded {
		return nil, errors.Errorf("body expands to more than %d bytes", maxDecoded)
	}
	return text, nil
}

// strictly decodes one JSON value and refuses unknown keys and anything behind the value.
func strictly(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "malformed content")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data behind the content")
	}
	return nil
}

// check reports what the types alone do not rule out.
func (c Configuration) check() error {
	if size := len(c.canonical()); size > maxDecoded-envelopeSize {
		return errors.Errorf("the configuration has %d bytes; allowed are %d", size, maxDecoded-envelopeSize)
	}
	if len(c.Services) > maxServices {
		return errors.Errorf("%d services; allowed are %d", len(c.Services), maxServices)
	}
	for name, s := range c.Services {
		if s.Name != name {
			return errors.Errorf("service %q is stored as %q", s.Name, name)
		}
		if c.changed[name] == 0 {
			return errors.Errorf("service %q has no version of its last change", name)
		}
	}
	for name, v := range c.changed {
		if v > c.Version {
			return errors.Errorf("service %q was changed in version %d, after version %d", name, v, c.Version)
		}
	}
	want := min(c.Version, history)
	if uint64(len(c.nonces)) != want {
		return errors.Errorf("%d nonces at version %d; expected %d", len(c.nonces), c.Version, want)
	}
	for i, n := range c.nonces {
		if expected := c.Version - want + uint64(i) + 1; n.Version != expected || n.Nonce == "" {
			return errors.Errorf("nonce %d belongs to version %d, not %d", i, n.Version, expected)
		}
	}
	return nil
}
