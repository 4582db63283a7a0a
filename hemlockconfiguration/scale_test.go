package hemlockconfiguration

import (
	"crypto/sha256"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"hemlockhollow/hemlockservice"
)

var digestPattern = regexp.MustCompile("[0-9a-f]{64}")

// scaledConfiguration returns a configuration of the given number of services, each as large as the orders example.
func scaledConfiguration(b *testing.B, services int) Configuration {
	b.Helper()
	text, err := os.ReadFile("../examples/kilwa/orders.hcl")
	if err != nil {
		b.Fatal(err)
	}
	changes := map[string]*hemlockservice.Service{}
	for i := range services {
		name := fmt.Sprintf("orders-%d", i)
		renamed := strings.Replace(string(text), `service "orders"`, `service "`+name+`"`, 1)
		for _, customer := range []string{"arusha-hotel", "zanzibar-weddings", "upanga-tailors"} {
			// Each service gets its own customers, with distinct digests, which do not compress.
			renamed = strings.Replace(renamed, customer, fmt.Sprintf("%s-%d", customer, i), 1)
		}
		renamed = digestPattern.ReplaceAllStringFunc(renamed, func(old string) string {
			return fmt.Sprintf("%x", sha256.Sum256([]byte(old+name)))
		})
		service, problems := hemlockservice.Parse(name+".hcl", []byte(renamed))
		if len(problems) > 0 {
			b.Fatal(problems)
		}
		changes[name] = &service
	}
	return Configuration{}.next(time.Now(), changes, "nonce")
}

// BenchmarkConfiguration measures the compressed size, the time to decode, which every node spends on every version,
// and the time to encode, which a node spends on every peer that fetches the configuration.
func BenchmarkConfiguration(b *testing.B) {
	for _, services := range []int{4, 13, 26, 52} {
		c := scaledConfiguration(b, services)
		body := Encode(c)
		b.Run(fmt.Sprintf("decode/%d", services), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
		b.Run(fmt.Sprintf("encode/%d", services), func(b *testing.B) {
			for b.Loop() {
				Encode(c)
			}
		})
	}
}
