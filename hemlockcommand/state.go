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
	// stateTimeout is long for a dump from a host under load, and short for a person who waits for it.
	stateTimeout = 10 * time.Second
	// maxState bounds the dump: 1,500 members of about 200 bytes each, with room for the other tables.
	maxState = 16 << 20
)

func (c Command) state(ctx context.Context) subcommand {
	var operator string
	return subcommand{
		name:        "state",
		description: "print the state of a running node",
		options: []option{
			{name: "operator", description: "operators' listener of the node", allowed: "IP:PORT", set: setAddress(&operator)},
		},
		run: func([]string) error {
			if operator == "" {
				return usage("state", "flag --operator is missing; allowed is IP:PORT")
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
	// The address is given; a proxy from the environment must not come between.
	client := &http.Client{Transport: &http.Transport{}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the node answered %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxState+1))
	if err != nil {
		return err
	}
	if len(body) > maxState {
		return errors.Errorf("the state has more than %d bytes", maxState)
	}
	if len(body) > 0 && body[len(body)-1] != '\n' {
		body = append(body, '\n')
	}
	_, err = fmt.Fprintf(c.Output, "%s", body)
	return err
}
