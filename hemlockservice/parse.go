package hemlockservice

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// maxFileBytes limits the size of a service file, far above what the largest service needs.
const maxFileBytes = 256 << 10

// Parse parses the text of a service file and checks its values. The file name is only used in the problems. The
// service is valid if there are no problems, and empty otherwise.
func Parse(file string, text []byte) (Service, Problems) {
	r := newReporter(file)
	if len(text) > maxFileBytes {
		r.report("", "the file has %d bytes; at most %d are allowed", len(text), maxFileBytes)
		return Service{}, r.problems
	}
	if position, found := findDeepNesting(text, file); found {
		r.reportAt(position, "brackets, templates or operators are nested more than %d deep", maxNestingDepth)
		return Service{}, r.problems
	}
	parsed, diagnostics := hclsyntax.ParseConfig(text, file, hcl.InitialPos)
	p := parser{reporter: r}
	for _, d := range diagnostics {
		if d.Severity != hcl.DiagError {
			continue
		}
		// Of two equal keys the HCL parser keeps the first, so the syntax tree is complete.
		p.incomplete = p.incomplete || d.Summary != "Attribute redefined"
		position := hcl.InitialPos
		if d.Subject != nil {
			position = d.Subject.Start
		}
		r.reportAt(position, "%s: %s", d.Summary, d.Detail)
	}
	var d draft
	if body, ok := parsed.Body.(*hclsyntax.Body); ok {
		d = p.parseFile(body)
	}
	if len(r.problems) > 0 {
		return Service{}, r.sortedProblems()
	}
	return d.service(), nil
}

// parser fills a draft from the syntax tree and reports what is wrong with it.
type parser struct {
	*reporter
	// incomplete is set after a syntax error: the tree may lack parts of the file, so missing parts are not reported.
	incomplete bool
}

func (p parser) parseFile(body *hclsyntax.Body) draft {
	for _, name := range sortedNames(body.Attributes) {
		p.reportAt(body.Attributes[name].NameRange.Start, "key %q is outside of the service block", name)
	}
	var service *hclsyntax.Block
	for _, b := range body.Blocks {
		switch {
		case b.Type != "service":
			p.reportAt(b.TypeRange.Start, "unknown block %q; allowed is service", b.Type)
		case service != nil:
			p.reportAt(b.TypeRange.Start, "duplicate block service; a file has exactly one service")
		default:
			service = b
		}
	}
	if service == nil {
		if !p.incomplete {
			p.report("", "the file has no service block")
		}
		return draft{}
	}
	return p.parseService(service)
}

func (p parser) parseService(b *hclsyntax.Block) draft {
	d := draft{
		Name:           p.parseLabel(b, "name"),
		ClaimRetention: duration(defaultClaimRetention),
		DefaultRank:    defaultRank,
	}
	p.setPosition("", b.TypeRange.Start)
	p.parseKeys(b.Body, "", map[string]keyRule{
		"slots":            {required: true, set: setInteger(&d.Slots)},
		"connections":      {required: true, set: setInteger(&d.Connections)},
		"not-run-statuses": {set: setIntegers(&d.NotRunStatuses)},
		"claim-retention":  {set: setDuration(&d.ClaimRetention)},
		"default-class":    {set: setString(&d.DefaultClass)},
		"default-rank":     {set: setInteger(&d.DefaultRank)},
	})
	for _, inner := range b.Body.Blocks {
		switch inner.Type {
		case "class":
			d.Classes = append(d.Classes, p.parseClass(inner, len(d.Classes)))
		case "customer":
			d.Customers = append(d.Customers, p.parseCustomer(inner, len(d.Customers)))
		default:
			p.reportAt(inner.TypeRange.Start, "unknown block %q; allowed are class and customer", inner.Type)
		}
	}
	if !p.incomplete {
		d.check(p.reporter)
	}
	return d
}

func (p parser) parseClass(b *hclsyntax.Block, index int) classDraft {
	blockPath := fmt.Sprintf("class[%d]", index)
	c := classDraft{Name: p.parseLabel(b, blockPath), MaxBody: defaultMaxRequestBody}
	keys := map[string]keyRule{
		"priority":   {required: true, set: setString(&c.Priority)},
		"repeat":     {required: true, set: setString(&c.Repeat)},
		"timeout":    {required: true, set: setDuration(&c.Timeout)},
		"retries":    {set: setInteger(&c.Retries)},
		"max-body":   {set: setSize(&c.MaxBody)},
		"max-answer": {set: setSize(&c.MaxAnswer)},
	}
	p.parseKeys(b.Body, blockPath, keys)
	if _, ok := b.Body.Attributes["max-answer"]; !ok {
		c.MaxAnswer = defaultMaxResponseBody
		if c.Repeat == repeatNever {
			c.MaxAnswer = defaultMaxStoredResponse
		}
	}
	if _, ok := b.Body.Attributes["max-body"]; !ok && c.Repeat == repeatNever {
		c.MaxBody = maxClaimedRequestBody
	}
	for _, inner := range b.Body.Blocks {
		if inner.Type != "match" {
			p.reportAt(inner.TypeRange.Start, "unknown block %q; allowed is match", inner.Type)
			continue
		}
		matchPath := fmt.Sprintf("%s.match[%d]", blockPath, len(c.Matches))
		p.setPosition(matchPath, inner.TypeRange.Start)
		if len(inner.Labels) > 0 {
			p.reportAt(inner.LabelRanges[0].Start, "a match block must not have a label")
		}
		var m matchDraft
		p.parseKeys(inner.Body, matchPath, map[string]keyRule{
			"method": {set: setString(&m.Method)},
			"path":   {required: true, set: setString(&m.Path)},
		})
		p.rejectBlocks(inner)
		c.Matches = append(c.Matches, m)
	}
	return c
}

func (p parser) parseCustomer(b *hclsyntax.Block, index int) customerDraft {
	blockPath := fmt.Sprintf("customer[%d]", index)
	c := customerDraft{Name: p.parseLabel(b, blockPath)}
	p.parseKeys(b.Body, blockPath, map[string]keyRule{
		"rank":         {required: true, set: setInteger(&c.Rank)},
		"token-sha256": {set: setString(&c.TokenDigest)},
	})
	p.rejectBlocks(b)
	if _, ok := b.Body.Attributes["token-sha256"]; ok && c.TokenDigest == "" {
		p.report(blockPath+".token-sha256", "token-sha256 has to be 64 lower-case hexadecimal digits")
	}
	return c
}

// parseLabel returns the only label of a block and records its position for the path.
func (p parser) parseLabel(b *hclsyntax.Block, path string) string {
	p.setPosition(path, b.TypeRange.Start)
	if len(b.Labels) != 1 {
		p.report(path, "a %s block must have exactly one label, its name", b.Type)
		return ""
	}
	p.setPosition(path, b.LabelRanges[0].Start)
	return b.Labels[0]
}

func (p parser) rejectBlocks(b *hclsyntax.Block) {
	for _, inner := range b.Body.Blocks {
		p.reportAt(inner.TypeRange.Start, "unknown block %q in %s", inner.Type, b.Type)
	}
}

// keyRule describes a key that a block may have.
type keyRule struct {
	required bool
	// set stores the value of the key. It returns what is wrong with the value, or an empty string if it is valid.
	set func(expression hclsyntax.Expression) string
}

// parseKeys stores the values of the keys of a block by their rules, and reports unknown, missing and malformed keys.
func (p parser) parseKeys(body *hclsyntax.Body, blockPath string, rules map[string]keyRule) {
	allowed := sortedNames(rules)
	for _, name := range sortedNames(body.Attributes) {
		attribute := body.Attributes[name]
		rule, ok := rules[name]
		if !ok {
			p.reportAt(attribute.NameRange.Start, "unknown key %q; allowed are %s", name, strings.Join(allowed, ", "))
			continue
		}
		path := joinPath(blockPath, name)
		p.setPosition(path, attribute.Expr.Range().Start)
		if problem := rule.set(attribute.Expr); problem != "" {
			p.report(path, "%s %s", name, problem)
		}
	}
	for _, name := range allowed {
		if _, ok := body.Attributes[name]; !ok && rules[name].required && !p.incomplete {
			p.report(joinPath(blockPath, name), "key %q is missing", name)
		}
	}
}

func joinPath(blockPath, name string) string {
	if blockPath == "" {
		return name
	}
	return blockPath + "." + name
}

func sortedNames[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for n := range values {
		names = append(names, n)
	}
	sort.Strings(names)
	return slices.Clip(names)
}
