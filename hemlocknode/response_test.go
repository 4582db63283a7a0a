package hemlocknode

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockclaim"
)

func newResponse(text string, length int64) *hemlockcall.Response {
	return &hemlockcall.Response{
		Status:   200,
		Body:     io.NopCloser(strings.NewReader(text)),
		Length:   length,
		Feedback: func() hemlockcall.Feedback { return hemlockcall.Feedback{} },
	}
}

// Guards against a response that is larger than its class allows but is passed on as complete.
func TestResponseSizeIsLimited(t *testing.T) {
	if _, err := limitResponse(newResponse("12345", 5), 4); hemlockcall.AsRefusal(err).Reason != hemlockcall.ReasonTooLarge {
		t.Errorf("a response with a known length above the limit gave %v, want a refusal with reason too-large", err)
	}
	streamed, err := limitResponse(newResponse("12345", -1), 4)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(streamed.Body); err == nil {
		t.Errorf("a streamed response above the limit ended without an error: %q", text)
	}
	within, _ := limitResponse(newResponse("1234", -1), 4)
	if text, err := io.ReadAll(within.Body); err != nil || string(text) != "1234" {
		t.Errorf("a streamed response within the limit gave %q, error %v; want the complete body and no error", text, err)
	}
}

// Guards against a stored response that breaks the protocol and is sent to a caller. A node that read the responses of targets less
// strictly may have stored it.
func TestBrokenStoredResponseIsNoResponse(t *testing.T) {
	for name, c := range map[string]struct {
		status           int
		fieldName, value string
		wantUnknown      bool
	}{
		"sound":                  {201, "X-Name", "caf\u00e9", false},
		"no status":              {0, "X-Name", "1", true},
		"an interim status":      {103, "X-Name", "1", true},
		"status 600":             {600, "X-Name", "1", true},
		"a blank in a name":      {200, "X Name", "1", true},
		"a control byte":         {200, "X-Name", "\x01", true},
		"a second line in value": {200, "X-Name", "1\r\nX: 2", true},
	} {
		t.Run(name, func(t *testing.T) {
			response, err := storedResponse(&hemlockclaim.StoredResponse{Status: c.status, Header: http.Header{c.fieldName: {c.value}}}, 2)
			if !c.wantUnknown {
				if err != nil || response.Status != c.status {
					t.Errorf("response %+v, error %v; want the response", response, err)
				}
				return
			}
			if err == nil {
				t.Fatalf("response with status %d and header %v, want an unknown outcome", response.Status, response.Header)
			}
			if r := hemlockcall.AsRefusal(err); r.Verdict != hemlockcall.VerdictUnknown || r.Feedback.UnusedRetries != 2 {
				t.Errorf("refusal %+v, want an unknown outcome with 2 unused retries", r)
			}
		})
	}
}
