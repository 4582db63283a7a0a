package hemlocknode

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockservice"
)

const headerIdempotencyKey = "Idempotency-Key"

// plan is what the configuration says about a request.
type plan struct {
	service hemlockservice.Service
	rule    hemlockservice.ClassRule
	// version is the configuration that the plan was made from; 0 means that none is in force.
	version uint64
}

// planRequest finds the service and the class of a request. Its error is a refusal as not run.
func planRequest(holder *hemlockconfiguration.Holder, request *hemlockcall.Request) (plan, error) {
	current := holder.Current()
	if current.Version == 0 {
		return plan{}, hemlockcall.Refuse(hemlockcall.ReasonConfiguration, "no configuration is in force yet").
			WithRetryAfter(time.Second)
	}
	service, known := current.Services[request.Service]
	if !known {
		return plan{}, hemlockcall.Refuse(hemlockcall.ReasonNotFound, "no service "+request.Service+" in the configuration")
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

// fingerprint identifies requests with the same content. The idempotency key is left out: a caller may send the same
// content under a new key.
func fingerprint(request *hemlockcall.Request, prefix []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Service, request.Method, request.Path, request.Header.Get("Content-Type")} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(prefix)
	return digest.Sum64()
}

// nestedPriority returns the priority of a nested call. It inherits that of the customer request, but an order that
// may not be repeated keeps its own priority when a request of lower priority makes it.
func nestedPriority(inherited hemlockcall.Priority, class hemlockcall.Class) hemlockcall.Priority {
	if class.AtMostOnce {
		return max(inherited, class.Priority)
	}
	return inherited
}
