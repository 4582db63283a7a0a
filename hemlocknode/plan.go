package hemlocknode

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockservice"
)

const headerIdempotencyKey = "Idempotency-Key"

// plan is the part of the configuration that applies to a request.
type plan struct {
	service hemlockservice.Service
	rule    hemlockservice.ClassRule
	// version is the version of the configuration from which the plan was made.
	version uint64
}

// planRequest finds the service and the class of a request and sets AtMostOnce of the request. Its error is a refusal with
// the verdict not-run.
func planRequest(holder *hemlockconfiguration.Holder, request *hemlockcall.Request) (plan, error) {
	current := holder.Current()
	if current.Version == 0 {
		return plan{}, hemlockcall.Refuse(hemlockcall.ReasonConfiguration, "the node has no active configuration yet").
			WithRetryAfter(time.Second)
	}
	service, known := current.Services[request.Service]
	if !known {
		return plan{}, hemlockcall.Refuse(hemlockcall.ReasonNotFound, "service "+request.Service+" is not in the configuration")
	}
	rule, matched := service.Match(request.Method, request.Path)
	if !matched {
		return plan{}, hemlockcall.Refuse(hemlockcall.ReasonNotFound, "no class of service "+request.Service+" matches "+request.Method+" "+request.Path)
	}
	if rule.AtMostOnce && request.Header.Get(headerIdempotencyKey) == "" {
		return plan{}, hemlockcall.Refuse(hemlockcall.ReasonInvalid, "class "+rule.Name+" needs an Idempotency-Key header with a UUID of version 7")
	}
	request.AtMostOnce = rule.AtMostOnce
	return plan{service: service, rule: rule, version: current.Version}, nil
}

// fingerprint identifies requests with the same content. prefix is the part of the body that is in memory: large requests
// that differ only after it have the same fingerprint. The fingerprint does not include the idempotency key, because a caller
// may send the same content with a new key.
func fingerprint(request *hemlockcall.Request, prefix []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Service, request.Method, request.Path, request.Header.Get("Content-Type")} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(prefix)
	return digest.Sum64()
}

// nestedPriority returns the priority of a nested call. A call inherits the priority of the customer request, but an
// at-most-once call keeps the priority of its own class if that is higher.
func nestedPriority(inherited hemlockcall.Priority, class hemlockcall.Class) hemlockcall.Priority {
	if class.AtMostOnce {
		return max(inherited, class.Priority)
	}
	return inherited
}
