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
	// formatVersion is incremented by every change of the encoding that an older program would misread.
	formatVersion = 1
	// maxEncodedBytes and maxDecodedBytes limit what Decode accepts, before and after decompression; a publish is checked
	// against maxDecodedBytes alone. A node has 32 MiB of memory; 52 services with 20 classes and 100 customers each take
	// about 1 MiB of JSON. The limit of the decompressed size protects against small bodies that expand without end
	// (decompression bombs).
	maxEncodedBytes = 4 << 20
	maxDecodedBytes = 8 << 20
	// maxEnvelopeBytes is more than the envelope adds to the size of its content.
	maxEnvelopeBytes = 1 << 10
	// maxMergedNonces limits the nonces of a configuration in which lost versions were merged several times.
	maxMergedNonces = 8 * maxNonces
	// maxServices limits the services of a configuration, far above the intended 52.
	maxServices = 1024
)

// envelope is the encoded form before compression. The digest covers the exact bytes of the content.
type envelope struct {
	Format  int             `json:"format"`
	Digest  string          `json:"digest"`
	Content json.RawMessage `json:"content"`
}

type content struct {
	Version  uint64                            `json:"version"`
	Services map[string]hemlockservice.Service `json:"services"`
	Changed  map[string]uint64                 `json:"changed"`
	Nonces   []versionNonce                    `json:"nonces"`
	// RetentionChanges is left out if there are none, so that programs that do not know it read the others.
	RetentionChanges map[string]retentionChange `json:"retention-changes,omitempty"`
}

func digestOf(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// canonicalJSON returns the JSON that the digest covers. Its map keys are sorted, so equal configurations give equal
// bytes.
func (c Configuration) canonicalJSON() []byte {
	text, err := json.Marshal(content{Version: c.Version, Services: c.Services, Changed: c.lastChanged, Nonces: c.nonces,
		RetentionChanges: c.retentionChanges})
	if err != nil {
		panic(errors.Wrap(err, "encode configuration")) // every value of these types can be encoded
	}
	return text
}

// Encode returns the compressed form of the configuration for the store and for peers.
func Encode(c Configuration) []byte {
	canonical := c.canonicalJSON()
	text, err := json.Marshal(envelope{Format: formatVersion, Digest: digestOf(canonical), Content: canonical})
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(text)
	_ = w.Close()
	return body.Bytes()
}

// Decode returns the configuration that Encode encoded. For a damaged, oversized or inconsistent body it returns an
// error of KindCorrupt.
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
	if err := decodeStrict(text, &e); err != nil {
		return Configuration{}, err
	}
	if e.Format != formatVersion {
		return Configuration{}, errors.Errorf("format %d is unknown; this program reads format %d", e.Format, formatVersion)
	}
	if actual := digestOf(e.Content); actual != e.Digest {
		return Configuration{}, errors.Errorf("digest of the content is %s, not %.64q", actual, e.Digest)
	}
	var decoded content
	if err := decodeStrict(e.Content, &decoded); err != nil {
		return Configuration{}, err
	}
	c := Configuration{
		Version:     decoded.Version,
		Digest:      e.Digest,
		Services:    decoded.Services,
		lastChanged: decoded.Changed,
		nonces:      decoded.Nonces,

		retentionChanges: decoded.RetentionChanges,
	}
	if err := c.validate(); err != nil {
		return Configuration{}, err
	}
	// JSON can write one value in many ways. Only the canonical one is accepted, so that a configuration has the same
	// digest on every node.
	if !bytes.Equal(c.canonicalJSON(), e.Content) {
		return Configuration{}, errors.New("content is not in canonical form")
	}
	return c, nil
}

func decompress(body []byte) ([]byte, error) {
	if len(body) > maxEncodedBytes {
		return nil, errors.Errorf("body has %d bytes; at most %d are allowed", len(body), maxEncodedBytes)
	}
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "body is not in gzip format")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errors.Wrap(err, "body is truncated")
	}
	if err != nil {
		return nil, errors.Wrap(err, "body is damaged")
	}
	if len(text) > maxDecodedBytes {
		return nil, errors.Errorf("body expands to more than %d bytes", maxDecodedBytes)
	}
	return text, nil
}

// decodeStrict decodes one JSON value. Unknown keys and any data after the value are errors.
func decodeStrict(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "malformed content")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the content")
	}
	return nil
}

// validate checks the limits and the consistency of the configuration.
func (c Configuration) validate() error {
	if size := len(c.canonicalJSON()); size > maxDecodedBytes-maxEnvelopeBytes {
		return errors.Errorf("the configuration has %d bytes; at most %d are allowed", size, maxDecodedBytes-maxEnvelopeBytes)
	}
	if len(c.Services) > maxServices {
		return errors.Errorf("the configuration has %d services; at most %d are allowed", len(c.Services), maxServices)
	}
	for name, s := range c.Services {
		if s.Name != name {
			return errors.Errorf("service %q is stored as %q", s.Name, name)
		}
		if c.lastChanged[name] == 0 {
			return errors.Errorf("service %q has no version of its last change", name)
		}
	}
	for name, v := range c.lastChanged {
		if v > c.Version {
			return errors.Errorf("service %q was last changed in version %d, but the configuration has version %d", name, v, c.Version)
		}
	}
	return c.validateNonces()
}

// validateNonces checks that there are nonces of each of the latest versions, in order, and of no other. The version itself has one.
func (c Configuration) validateNonces() error {
	if c.Version == 0 && len(c.nonces) == 0 {
		return nil
	}
	if len(c.nonces) > maxMergedNonces {
		return errors.Errorf("the configuration has %d nonces; at most %d are allowed", len(c.nonces), maxMergedNonces)
	}
	last := c.Version - min(c.Version, maxNonces)
	for i, n := range c.nonces {
		repeated := i > 0 && n.Version == last && n.Version < c.Version
		if n.Nonce == "" || n.Version != last+1 && !repeated {
			return errors.Errorf("nonce %d is empty or belongs to version %d after version %d", i, n.Version, last)
		}
		last = n.Version
	}
	if last != c.Version {
		return errors.Errorf("the last nonce belongs to version %d; expected version %d", last, c.Version)
	}
	return nil
}
