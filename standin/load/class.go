package main

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// class is one kind of request with its rate.
type class struct {
	name, method, path string
	// rate is in requests/s; above zero.
	rate float64
	// body is the size of the request body in bytes.
	body int
	// withKey sends an idempotency key, the same one with every attempt of a request.
	withKey bool
}

func parseClasses(texts []string) ([]class, error) {
	if len(texts) == 0 {
		return nil, errors.New("no --class given")
	}
	classes := make([]class, 0, len(texts))
	for _, text := range texts {
		parsed, err := parseClass(text)
		if err != nil {
			return nil, errors.Wrapf(err, "--class %q", text)
		}
		classes = append(classes, parsed)
	}
	return classes, nil
}

func parseClass(text string) (class, error) {
	fields := strings.Split(text, ":")
	if len(fields) < 4 || len(fields) > 6 {
		return class{}, errors.New("want NAME:METHOD:PATH:RATE[:BODY-BYTES[:once]]")
	}
	parsed := class{name: fields[0], method: fields[1], path: fields[2]}
	var err error
	if parsed.rate, err = strconv.ParseFloat(fields[3], 64); err != nil || parsed.rate <= 0 {
		return class{}, errors.New("RATE must be above 0")
	}
	if len(fields) > 4 {
		if parsed.body, err = strconv.Atoi(fields[4]); err != nil || parsed.body < 0 {
			return class{}, errors.New("BODY-BYTES must be 0 or more")
		}
	}
	parsed.withKey = len(fields) > 5 && fields[5] == "once"
	return parsed, nil
}
