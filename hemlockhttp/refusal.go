package hemlockhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hemlockhollow/hemlockcall"
)

// The response headers of a refusal: its verdict and its reason.
const (
	HeaderVerdict = ReservedPrefix + "Verdict"
	HeaderReason  = ReservedPrefix + "Reason"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

// clientErrorStatuses contains the 4xx statuses of refusals with the verdict not-run whose cause is the
// request or its caller.
var clientErrorStatuses = map[hemlockcall.Reason]int{
	hemlockcall.ReasonInvalid:       http.StatusBadRequest,
	hemlockcall.ReasonIncomplete:    http.StatusBadRequest,
	hemlockcall.ReasonNotFound:      http.StatusNotFound,
	hemlockcall.ReasonClaimed:       http.StatusConflict,
	hemlockcall.ReasonTooLarge:      http.StatusRequestEntityTooLarge,
	hemlockcall.ReasonCallerRetries: http.StatusTooManyRequests,
}

// RefusalStatus returns the HTTP status of a refusal: 504 or 502 for an unknown outcome, depending on whether the deadline
// was exceeded; with the verdict not-run a 4xx status if the request or its caller is the cause, else 503.
func RefusalStatus(refusal *hemlockcall.Refusal) int {
	if refusal.Verdict != hemlockcall.VerdictNotRun {
		if refusal.Reason == hemlockcall.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if status, ok := clientErrorStatuses[refusal.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// WriteRefusal writes a refusal as JSON with its headers. An error that is not a *hemlockcall.Refusal is written as one
// with an unknown outcome.
func WriteRefusal(w http.ResponseWriter, err error) {
	refusal := hemlockcall.AsRefusal(err)
	body, marshalErr := json.Marshal(refusalBody{
		Verdict: refusal.Verdict.String(),
		Reason:  string(refusal.Reason),
		Detail:  refusal.Detail,
	})
	if marshalErr != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderVerdict, refusal.Verdict.String())
	header.Set(HeaderReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(RefusalStatus(refusal))
	_, _ = w.Write(body)
}
