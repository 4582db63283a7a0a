package hemlockquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a fraction that is counted twice: whatever requests are sent, arrive late, are lost or stay unanswered, what the pools
// count and what the lender may still use never exceed the fraction.
func TestAFractionIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now, sequence, lent := start, uint64(0), loans{}
		pools := map[string]*Pool{"a": NewPool(0, start.Add(-time.Minute), 1), "b": NewPool(0, start.Add(-time.Minute), 2)}
		for _, p := range pools {
			p.SetLimits(now, map[string]Limit{"customer": {PerSecond: 1}})
		}
		var onTheWay []*Message
		remove := func(i int) { onTheWay = append(onTheWay[:i:i], onTheWay[i+1:]...) }
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				pool := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool")
				sequence++
				m := &Message{Address: pool, sequence: sequence, Request: Request{From: "host", Partitions: 1, Lease: time.Second,
					Clock: pools[pool].clock(now), Reclaimed: rapid.Bool().Draw(t, "reclaimed")}}
				if !m.Request.Reclaimed {
					m.Request.Lent = lent.available(now, One/Fraction(rapid.IntRange(1, 3).Draw(t, "part")), pool)
					lent.lend(now, pool, sequence, m.Request.Lent, levels[0])
				}
				onTheWay = append(onTheWay, m)
			},
			"arrive": func(t *rapid.T) {
				if len(onTheWay) == 0 {
					return
				}
				// One that is not the first on the way had no answer before the next one was sent.
				i := rapid.IntRange(0, len(onTheWay)-1).Draw(t, "message")
				m := onTheWay[i]
				remove(i)
				answer, _ := pools[m.Address].Receive(now, m.Request)
				answered := m.sequence == sequence && rapid.Bool().Draw(t, "answered")
				switch {
				case answered && !answer.Accepted:
					lent.withdraw(m.sequence)
				case answered && m.Request.Reclaimed:
					lent.end(m.Address, now.Add(levels[0].release), false)
				case answered && m.Request.Lent > 0:
					lent.accepted(m.Address, m.sequence)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := One.minus(lent.total(now))
				for _, p := range pools {
					p.expire(now)
					sum += p.share(now, p.accounts["customer"])
				}
				if sum > One {
					t.Fatalf("%v of the fraction is in use", sum.Value())
				}
			},
		})
	})
}

// Guards against tokens that a fraction brings when it joins a pool: a customer would get its burst again with each move.
func TestMovingSharesBringNoTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, limit, taken := time.Unix(1000, 0), Limit{PerSecond: 10, Burst: 50}, 0
		buckets := []*bucket{{at: now}, {at: now}}
		start := now
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			share := Of(rapid.Float64Range(0, 1).Draw(t, "share"))
			buckets[0].set(now, share, limit)
			buckets[1].set(now, One-share, limit)
			for _, b := range buckets {
				taken += b.take(rapid.IntRange(0, 100).Draw(t, "take"))
			}
			// Each bucket keeps one token at least.
			if most := limit.PerSecond*now.Sub(start).Seconds() + limit.Burst + 2; float64(taken) > most {
				t.Fatalf("%d tokens in %v, at most %.0f allowed", taken, now.Sub(start), most)
			}
		}
	})
}
