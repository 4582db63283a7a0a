package hemlockservice

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// maxFile bounds a service file, far above what the largest service needs.
const maxFile = 256 << 10

// Parse reads a service file. The service is valid when there are no problems.
func Parse(file string, text []byte) (Service, Problems) {
	r := newReporter(file)
	if len(text) > maxFile {
		r.report("", "the file has %d bytes; allowed are %d", len(text), maxFile)
		return Service{}, r.problems
	}
	if at, found := tooNested(text, file); found {
		r.reportAt(at, "brackets, templates or operators are nested more than %d deep", maxNesting)
		return Service{}, r.problems
	}
	parsed, diagnostics := hclsyntax.ParseConfig(text, file, hcl.InitialPos)
	p := parser{reporter: r}
	for _, d := range diagnostics {
		if d.Severity != hcl.DiagError {
			continue
		}
		// HCL keeps the first of two equal keys, so the rest of the tree is whole.
		p.broken = p.broken || d.Summary != "Attribute redefined"
		at := hcl.InitialPos
		if d.Subject != nil {
			at = d.Subject.Start
		}
		r.reportAt(at, "%s: %s", d.Summary, d.Detail)
	}
	var d draft
	if body, ok := parsed.Body.(*hclsyntax.Body); ok {
		d = p.file(body)
	}
	if len(r.problems) > 0 {
		return Service{}, r.sorted()
	}
	return d.service(), nil
}

// parser fills a draft from the syntax tree.
type parser struct {
	*reporter
	// broken is set when the syntax is; what is missing from the tree may then be in the file, so it is not reported.
	broken bool
}

func (p parser) file(body *hclsyntax.Body) draft {
	for _, name := range sortedNames(body.Attributes) {
		p.reportAt(body.Attributes[name].NameRange.Start, "key %q is outside of the service block", name)
	}
	var service *hclsyntax.Block
	for _, b := range body.Blocks {
		switch {
		case b.Type != "service":
			p.reportAt(b.TypeRange.Start, "unknown block %q; allowed is service", b.Type)
		case service != nil:
			p.reportAt(b.TypeRange.Start, "duplicate block service; a file has one service")
		default:
			service = b
		}
	}
	if service == nil {
		if !p.broken {
			p.report("", "the file has no service block")
		}
		return draft{}
	}
	return p.service(service)
}

func (p parser) service(b *hclsyntax.Block) draft {
	d := draft{
		Name:           p.label(b, "name"),
		ClaimRetention: duration(defaultClaimRetention),
		DefaultRank:    defaultRank,
	}
	p.place("", b.TypeRange.Start)
	p.keys(b.Body, "", map[string]target{
		"slots":            {required: true, set: integer(&d.Slots)},
		"connections":      {required: true, set: integer(&d.Connections)},
		"not-run-statuses": {set: integers(&d.NotRunStatuses)},
		"claim-retention":  {set: durationValue(&d.ClaimRetention)},
		"default-class":    {set: text(&d.DefaultClass)},
		"default-rank":     {set: integer(&d.DefaultRank)},
	})
	for _, inner := range b.Body.Blocks {
		switch inner.Type {
		case "class":
			d.Classes = append(d.Classes, p.class(inner, len(d.Classes)))
		case "customer":
			d.Customers = append(d.Customers, p.customer(inner, len(d.Customers)))
		default:
			p.reportAt(inner.TypeRange.Start, "unknown block %q; allowed are class and customer", inner.Type)
		}
	}
	if !p.broken {
		d.check(p.reporter)
	}
	return d
}

func (p parser) class(b *hclsyntax.Block, index int) classDraft {
	at := fmt.Sprintf("class[%d]", index)
	c := classDraft{Name: p.label(b, at), MaxBody: defaultMaxBody}
	keys := map[string]target{
		"priority":   {required: true, set: text(&c.Priority)},
		"repeat":     {required: true, set: text(&c.Repeat)},
		"timeout":    {required: true, set: durationValue(&c.Timeout)},
		"retries":    {set: integer(&c.Retries)},
		"max-body":   {set: sizeValue(&c.MaxBody)},
		"max-answer": {set: sizeValue(&c.MaxAnswer)},
	}
	p.keys(b.Body, at, keys)
	if _, ok := b.Body.Attributes["max-answer"]; !ok {
		c.MaxAnswer = defaultMaxAnswer
		if c.Repeat == repeatNever {
			c.MaxAnswer = defaultMaxStoredAnswer
		}
	}
	if _, ok := b.Body.Attributes["max-body"]; !ok && c.Repeat == repeatNever {
		c.MaxBody = maxClaimedBody
	}
	for _, inner := range b.Body.Blocks {
		if inner.Type != "match" {
			p.reportAt(inner.TypeRange.Start, "unknown block %q; allowed is match", inner.Type)
			continue
		}
		place := fmt.Sprintf("%s.match[%d]", at, len(c.Matches))
		p.place(place, inner.TypeRange.Start)
		if len(inner.Labels) > 0 {
			p.reportAt(inner.LabelRanges[0].Start, "a match block has no label")
		}
		var m matchDraft
		p.keys(inner.Body, place, map[string]target{
			"method": {set: text(&m.Method)},
			"path":   {required: true, set: text(&m.Path)},
		})
		p.noBlocks(inner)
		c.Matches = append(c.Matches, m)
	}
	return c
}

func (p parser) customer(b *hclsyntax.Block, index int) customerDraft {
	at := fmt.Sprintf("customer[%d]", index)
	c := customerDraft{Name: p.label(b, at)}
	p.keys(b.Body, at, map[string]target{
		"rank":         {required: true, set: integer(&c.Rank)},
		"token-sha256": {set: text(&c.Digest)},
	})
	p.noBlocks(b)
	if _, ok := b.Body.Attributes["token-sha256"]; ok && c.Digest == "" {
		p.report(at+".token-sha256", "token-sha256 has to be 64 lower-case hexadecimal digits")
	}
	return c
}

// label returns the one label of a block and records its position under the path.
func (p parser) label(b *hclsyntax.Block, path string) string {
	p.place(path, b.TypeRange.Start)
	if len(b.Labels) != 1 {
		p.report(path, "a %s block has one label, its name", b.Type)
		return ""
	}
	p.place(path, b.LabelRanges[0].Start)
	return b.Labels[0]
}

func (p parser) noBlocks(b *hclsyntax.Block) {
	for _, inner := range b.Body.Blocks {
		p.reportAt(inner.TypeRange.Start, "unknown block %q in %s", inner.Type, b.Type)
	}
}

// target is where the value of a key goes. set returns what is wrong with the value, or an empty text.
type target struct {
	required bool
	set      func(expression hclsyntax.Expression) string
}

// keys sets the targets from the attributes of a block, and reports unknown, missing and malformed ones.
func (p parser) keys(body *hclsyntax.Body, at string, targets map[string]target) {
	allowed := sortedNames(targets)
	for _, name := range sortedNames(body.Attributes) {
		a := body.Attributes[name]
		known, ok := targets[name]
		if !ok {
			p.reportAt(a.NameRange.Start, "unknown key %q; allowed are %s", name, strings.Join(allowed, ", "))
			continue
		}
		path := join(at, name)
		p.place(path, a.Expr.Range().Start)
		if fault := known.set(a.Expr); fault != "" {
			p.report(path, "%s %s", name, fault)
		}
	}
	for _, name := range allowed {
		if _, ok := body.Attributes[name]; !ok && targets[name].required && !p.broken {
			p.report(join(at, name), "key %q is missing", name)
		}
	}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

func sortedNames[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for n := range values {
		names = append(names, n)
	}
	sort.Strings(names)
	return slices.Clip(names)
}
