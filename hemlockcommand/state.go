package hemlockcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

const (
	// stateTimeout is long enough for a dump of the state from a host under load, and short enough for a person who waits
	// for it.
	stateTimeout = 10 * time.Second
	// maxStateBytes limits the size of the dump: 1,500 members of about 200 bytes each, and ample space for the other
	// tables.
	maxStateBytes = 16 << 20
)

func (c Command) state(ctx context.Context) subcommand {
	var operator string
	return subcommand{
		name:        "state",
		description: "print the state of a running node",
		options: []option{
			{name: "operator", description: "operators' address of the node", allowed: "IP:PORT", set: setAddress(&operator)},
		},
		run: func([]string) error {
			if operator == "" {
				return usageError("state", "flag --operator is missing; allowed is IP:PORT")
			}
			if err := c.printState(ctx, operator); err != nil {
				return hemlockerror.Wrap("state", KindFailure, err)
			}
			return nil
		},
	}
}

func (c Command) printState(ctx context.Context, operator string) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/state", http.NoBody)
	if err != nil {
		return err
	}
	// The transport has no proxy from the environment, so that the client connects to the given address itself.
	client := &http.Client{Transport: &http.Transport{}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the node responded with status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxStateBytes {
		return errors.Errorf("the state has more than %d bytes", maxStateBytes)
	}
	if len(body) > 0 && body[len(body)-1] != '\n' {
		body = append(body, '\n')
	}
	_, err = fmt.Fprintf(c.Output, "%s", body)
	return err
}
