package hemlockpeer

import (
	"math"
	"testing"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// receiveRelayed returns the result of a call whose peer sends the status and header lines, while another call is pending.
func receiveRelayed(t *testing.T, status uint32, lines string) (*hemlockcall.RelayResponse, error) {
	t.Helper()
	c := newRelayConnection(newLivenessMonitor(), func() {})
	number, call, _ := c.beginCall(false)
	_, other, _ := c.beginCall(false)
	head := &hemlockwire.RelayAnswer{Status: status, Header: []byte(lines)}
	parcels := []*hemlockwire.Parcel{{Call: number, Answer: head, Body: []byte("first"), More: true}, {Call: number, Body: []byte("last")}}
	if err := c.receiveBatch(parcels); err != nil {
		t.Errorf("the connection fails with error %v, want it to stay open", err)
	}
	if len(other.result) > 0 || !c.usable() {
		t.Error("the other call has ended, want it to be pending")
	}
	result := <-call.result
	return result.response, result.err
}

func isUnknownOutcome(err error) bool {
	return err != nil && hemlockcall.AsRefusal(err).Verdict == hemlockcall.VerdictUnknown
}

// receiveStreamed returns a response whose peer sends the status and one header field with two values.
func receiveStreamed(status uint32, name, value string) (*hemlockcall.Response, error) {
	return decodeResponse(&hemlockwire.ResponseHead{Status: status, Headers: []*hemlockwire.Header{{Name: name, Values: []string{"1", value}}}})
}

// Guards against a response of a peer whose head breaks the protocol. A node that reads the responses of targets less strictly may pass
// it on.
func TestBrokenResponseOfAPeerIsNoResponse(t *testing.T) {
	wantNone := func(t *testing.T, status uint32, name, value string) {
		t.Helper()
		response, err := receiveRelayed(t, status, "X-Id: 1\r\n"+name+": "+value+"\r\n")
		if response != nil || !isUnknownOutcome(err) {
			t.Errorf("relayed: response %+v, error %v; want an unknown outcome", response, err)
		}
		if response, err := receiveStreamed(status, name, value); !isViolation(err) {
			t.Errorf("streamed: response %+v, error %v; want a violation", response, err)
		}
	}
	for _, status := range []uint32{0, 99, 100, 103, 199, 600, 999, math.MaxUint32} {
		wantNone(t, status, "X-Name", "1")
	}
	for _, name := range []string{"X Name", "X-Name ", " X-Name", "X\tName", "X\x01Name", "X\x00Name", "X\x7fName", "X\u00e9", "X(Name)", ""} {
		t.Run("name "+name, func(t *testing.T) { wantNone(t, 200, name, "1") })
	}
	for _, value := range []string{"1\x00", "1\x012", "1\r2", "1\n2", "1\r\nX Other: 2", "1\x7f"} {
		t.Run("value "+value, func(t *testing.T) { wantNone(t, 200, "X-Name", value) })
	}
	for name, lines := range map[string]string{
		"a line without an end": "X-Id: 1", "a line without a carriage return": "X-Id: 1\nX-Name: 1\r\n", "an empty line": "X-Id: 1\r\n\r\n",
		"a line without a colon": "X-Id\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if response, err := receiveRelayed(t, 200, lines); !isUnknownOutcome(err) {
				t.Errorf("response %+v, error %v; want an unknown outcome", response, err)
			}
		})
	}
}

// Guards against a sound response of a peer that is refused.
func TestSoundResponsesOfAPeerPass(t *testing.T) {
	wantRelayed := func(status uint32, lines string) {
		t.Helper()
		response, err := receiveRelayed(t, status, lines)
		if err != nil || response.Status != int(status) || string(response.Header) != lines || string(response.Body) != "firstlast" {
			t.Errorf("relayed: response %+v, error %v", response, err)
		}
	}
	const name = "!#$%&'*+-.^_`|~09AZaz"
	for _, status := range []uint32{200, 204, 304, 421, 500, 599} {
		for _, value := range []string{"", "1", "a b\tc", "caf\u00e9", "a:b"} {
			wantRelayed(status, name+": "+value+"\r\n")
			if response, err := receiveStreamed(status, name, value); err != nil || response.Status != int(status) {
				t.Errorf("streamed: response %+v, error %v", response, err)
			}
		}
	}
	wantRelayed(200, "X-Name: caf\xe9\r\n")
	wantRelayed(200, "")
}
