package hemlockclaim

import (
	"context"
)

// TransactionWriter writes independent changes as transactions.
type TransactionWriter struct {
	transactor Transactor
}

// NewTransactionWriter returns a Writer on top of a table.
func NewTransactionWriter(transactor Transactor) *TransactionWriter {
	return &TransactionWriter{transactor: transactor}
}

// maxTransactions bounds the repetitions of one Write after conflicts.
const maxTransactions = 8

// Write sends the changes as one transaction. After a conflict, the changes whose conditions failed are taken out and
// the rest is sent again. A key that occurs more than once is sent with the first of its changes only; the others
// follow in another transaction, as a transaction holds a key once.
func (w *TransactionWriter) Write(ctx context.Context, changes []Change) ([]bool, error) {
	applied := make([]bool, len(changes))
	open := make([]int, len(changes))
	for i := range changes {
		open[i] = i
	}
	written := false
	for range maxTransactions {
		if len(open) == 0 {
			return applied, nil
		}
		batch, later := distinct(changes, open)
		failed, err := w.transactor.Transact(ctx, pick(changes, batch))
		if err != nil {
			return nil, partial(written, err)
		}
		if len(failed) == 0 {
			written = true
			for _, i := range batch {
				applied[i] = true
			}
			open = later
			continue
		}
		open = append(without(changes, batch, failed), later...)
	}
	if len(open) == 0 {
		return applied, nil
	}
	return nil, partial(written, newError("write", KindUnavailable, "too many conflicts"))
}

// partial turns an error after an applied transaction into an unknown outcome of the whole call.
func partial(written bool, err error) error {
	if written && KindOf(err) == KindUnavailable {
		return wrapError("write", KindUnknown, err)
	}
	return err
}

func pick(changes []Change, indices []int) []Change {
	picked := make([]Change, len(indices))
	for i, index := range indices {
		picked[i] = changes[index]
	}
	return picked
}

// distinct splits the indices into the first change of each key and the rest, in order.
func distinct(changes []Change, indices []int) (first, rest []int) {
	seen := make(map[string]struct{}, len(indices))
	for _, i := range indices {
		if _, repeated := seen[changes[i].Key]; repeated {
			rest = append(rest, i)
			continue
		}
		seen[changes[i].Key] = struct{}{}
		first = append(first, i)
	}
	return first, rest
}

// without returns the indices whose keys are not in failed. It returns fewer indices in every case, so that a table
// that names no failed key cannot cause an endless repetition.
func without(changes []Change, indices []int, failed []string) []int {
	lost := make(map[string]struct{}, len(failed))
	for _, key := range failed {
		lost[key] = struct{}{}
	}
	var rest []int
	for _, i := range indices {
		if _, found := lost[changes[i].Key]; !found {
			rest = append(rest, i)
		}
	}
	return rest
}
