package hemlockclaim

import (
	"context"
)

// TransactionWriter is a Writer that writes independent changes in transactions.
type TransactionWriter struct {
	transactor Transactor
}

// NewTransactionWriter returns a TransactionWriter that uses the given Transactor.
func NewTransactionWriter(transactor Transactor) *TransactionWriter {
	return &TransactionWriter{transactor: transactor}
}

// maxTransactionAttempts limits the transactions of one Write call, as each conflict requires another one.
const maxTransactionAttempts = 8

// Write implements Writer. It sends the changes in one transaction. After a conflict, it removes the changes whose
// conditions failed and retries the remaining ones, up to maxTransactionAttempts transactions. Of several changes to one
// key, only the first is part of the transaction; the others follow in a later one, as the keys of a transaction must be
// distinct.
func (w *TransactionWriter) Write(ctx context.Context, changes []Change) ([]bool, error) {
	applied := make([]bool, len(changes))
	remaining := make([]int, len(changes))
	for i := range changes {
		remaining[i] = i
	}
	written := false
	for range maxTransactionAttempts {
		if len(remaining) == 0 {
			return applied, nil
		}
		batch, duplicates := splitDuplicates(changes, remaining)
		failed, err := w.transactor.Transact(ctx, selectChanges(changes, batch))
		if err != nil {
			return nil, partialError(written, err)
		}
		if len(failed) == 0 {
			written = true
			for _, i := range batch {
				applied[i] = true
			}
			remaining = duplicates
			continue
		}
		remaining = append(withoutFailed(changes, batch, failed), duplicates...)
	}
	if len(remaining) == 0 {
		return applied, nil
	}
	return nil, partialError(written, newError("write", KindUnavailable, "too many conflicts"))
}

// partialError returns the error of a Write call after a transaction failed with err. written means that an earlier
// transaction of the call was applied. The outcome of the whole call is then unknown, even if err is of KindUnavailable.
func partialError(written bool, err error) error {
	if written && KindOf(err) == KindUnavailable {
		return wrapError("write", KindUnknown, err)
	}
	return err
}

func selectChanges(changes []Change, indices []int) []Change {
	selected := make([]Change, len(indices))
	for i, index := range indices {
		selected[i] = changes[index]
	}
	return selected
}

// splitDuplicates separates the indices of the first change of each key from the others and preserves the order.
func splitDuplicates(changes []Change, indices []int) (first, duplicates []int) {
	seen := make(map[string]struct{}, len(indices))
	for _, i := range indices {
		if _, duplicate := seen[changes[i].Key]; duplicate {
			duplicates = append(duplicates, i)
			continue
		}
		seen[changes[i].Key] = struct{}{}
		first = append(first, i)
	}
	return first, duplicates
}

// withoutFailed returns the indices of the changes whose keys are not in failed. If a table names only keys that are not
// among the changes, all indices remain, and maxTransactionAttempts prevents an endless loop.
func withoutFailed(changes []Change, indices []int, failed []string) []int {
	failedKeys := make(map[string]struct{}, len(failed))
	for _, key := range failed {
		failedKeys[key] = struct{}{}
	}
	var remaining []int
	for _, i := range indices {
		if _, found := failedKeys[changes[i].Key]; !found {
			remaining = append(remaining, i)
		}
	}
	return remaining
}
