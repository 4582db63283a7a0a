package hemlockclaim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockclaim"
)

func changeOf(key string) hemlockclaim.Change {
	return hemlockclaim.Change{Key: key, Row: hemlockclaim.Row{State: hemlockclaim.StateRunning}}
}

func writeConcurrently(writer hemlockclaim.Writer, count int) []error {
	failures := make([]error, count)
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() {
			_, failures[i] = writer.Write(context.Background(), []hemlockclaim.Change{changeOf(fmt.Sprint(i))})
		})
	}
	wait.Wait()
	return failures
}

// Guards against one transaction per change, and against transactions that exceed the limit.
func TestBatcherLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.latency = 2 * time.Millisecond
		batcher := hemlockclaim.NewBatcher(hemlockclaim.NewTransactionWriter(table), hemlockclaim.WithBatchLimits(40, 1<<20))
		start := time.Now()
		for _, err := range writeConcurrently(batcher, 100) {
			wantKind(t, err, "")
		}
		if table.transactions > 4 || time.Since(start) > 20*time.Millisecond {
			t.Errorf("%d transactions of %v changes in %v, want at most 4 transactions in at most 20 ms", table.transactions, table.batchSizes, time.Since(start))
		}
		for _, size := range table.batchSizes {
			if size > 40 {
				t.Errorf("a transaction of %d changes, want at most 40", size)
			}
		}
	})
}

// Guards against a conflict on one key that makes the changes to other keys fail.
func TestTransactionWriterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		writer := hemlockclaim.NewTransactionWriter(table)
		_, _ = writer.Write(context.Background(), []hemlockclaim.Change{changeOf("a")})
		applied, err := writer.Write(context.Background(), []hemlockclaim.Change{changeOf("a"), changeOf("b"), changeOf("b")})
		if err != nil || fmt.Sprint(applied) != "[false true false]" {
			t.Errorf("applied %v with error %v, want [false true false] without an error", applied, err)
		}
	})
}

// Guards against a change that is reported as not written although its transaction was sent, and against an unknown
// outcome for a change that was never sent.
func TestBatcherErrorKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.latency = 20 * time.Millisecond
		batcher := hemlockclaim.NewBatcher(hemlockclaim.NewTransactionWriter(table),
			hemlockclaim.WithInterval(50*time.Millisecond), hemlockclaim.WithQueueLimit(2))
		for _, kind := range []hemlockclaim.Kind{hemlockclaim.KindUnknown, hemlockclaim.KindUnavailable} {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			_, err := batcher.Write(ctx, []hemlockclaim.Change{changeOf(string(kind))})
			wantKind(t, err, kind)
			cancel()
		}
		synctest.Wait()
		_, err := batcher.Write(context.Background(), []hemlockclaim.Change{changeOf("a"), changeOf("b"), changeOf("c")})
		wantKind(t, err, hemlockclaim.KindUnavailable)
		time.Sleep(time.Second)
		if counts := batcher.Counts(); counts.Abandoned != 1 || counts.Rejected != 3 || counts.InFlight != 0 {
			t.Errorf("counts %+v, want 1 abandoned and 3 rejected changes and no write in flight", counts)
		}
	})
}

// Guards against a local write of a change that the batching node may have written already.
func TestForwarderFallback(t *testing.T) {
	for _, c := range []struct{ remote, want hemlockclaim.Kind }{
		{hemlockclaim.KindUnavailable, ""}, {hemlockclaim.KindUnknown, hemlockclaim.KindUnknown}, {"", hemlockclaim.KindUnknown},
	} {
		table := newFakeTable()
		forwarder := hemlockclaim.NewForwarder(hemlockclaim.NewTransactionWriter(table),
			func(string) string { return "127.0.0.9:1" },
			func(context.Context, string, []hemlockclaim.Change) ([]bool, error) {
				if c.remote == "" {
					return nil, context.DeadlineExceeded
				}
				return nil, hemlockclaim.NewError("remote", c.remote, "")
			})
		_, err := forwarder.Write(context.Background(), []hemlockclaim.Change{changeOf("a")})
		wantKind(t, err, c.want)
		if written := len(table.rows) == 1; written != (c.want == "") {
			t.Errorf("error kind %q of the remote write: written locally is %v, want the opposite", c.remote, written)
		}
	}
}

// BenchmarkBatcher measures the batch size and the added delay for 2,000 claims/s that arrive evenly for 1 s, with
// transactions of 2 ms. It uses virtual time, so that the figures do not depend on the machine.
func BenchmarkBatcher(b *testing.B) {
	const claims, latency = 2000, 2 * time.Millisecond
	for _, interval := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		b.Run(interval.String(), func(b *testing.B) {
			var totalDelay time.Duration
			var transactions int
			for range b.N {
				inVirtualTime(func() {
					table := newFakeTable()
					table.latency = latency
					batcher := hemlockclaim.NewBatcher(hemlockclaim.NewTransactionWriter(table), hemlockclaim.WithInterval(interval))
					delays := make([]time.Duration, claims)
					var wait sync.WaitGroup
					for i := range claims {
						wait.Go(func() {
							start := time.Now()
							_, _ = batcher.Write(context.Background(), []hemlockclaim.Change{changeOf(fmt.Sprint(i))})
							delays[i] = time.Since(start) - latency
						})
						time.Sleep(time.Second / claims)
					}
					wait.Wait()
					for _, delay := range delays {
						totalDelay += delay
					}
					transactions += table.transactions
				})
			}
			b.ReportMetric(float64(claims*b.N)/float64(transactions), "claims/transaction")
			b.ReportMetric(float64(totalDelay.Microseconds())/float64(claims*b.N)/1000, "added-ms/claim")
		})
	}
}

// inVirtualTime runs the function in a synctest bubble, for which a benchmark has to construct a testing.T.
func inVirtualTime(run func()) {
	synctest.Test(&testing.T{}, func(*testing.T) { run() })
}
