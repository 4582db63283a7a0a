package hemlocknode

import (
	"io"
	"strings"
	"testing"

	"hemlockhollow/hemlockcall"
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
