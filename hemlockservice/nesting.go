package hemlockservice

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// maxNesting bounds brackets, templates and operators within each other. A valid file has at most 4; the parser of
// the library recurses with the nesting and ends the process when the stack is exhausted.
const maxNesting = 32

// tooNested returns the position of the first token that is nested too deeply.
func tooNested(text []byte, file string) (hcl.Pos, bool) {
	tokens, _ := hclsyntax.LexConfig(text, file, hcl.InitialPos)
	depth, parentheses, operators := 0, 0, 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOParen, hclsyntax.TokenOBrack:
			parentheses++
		case hclsyntax.TokenCParen, hclsyntax.TokenCBrack:
			parentheses--
		}
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenOQuote,
			hclsyntax.TokenOHeredoc, hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenCQuote,
			hclsyntax.TokenCHeredoc, hclsyntax.TokenTemplateSeqEnd:
			depth--
		case hclsyntax.TokenMinus, hclsyntax.TokenBang, hclsyntax.TokenQuestion:
			// Unary operators and conditionals nest without brackets, and across lines only within parentheses.
			operators++
		case hclsyntax.TokenNewline:
			if parentheses <= 0 {
				operators = 0
			}
		}
		if depth > maxNesting || operators > maxNesting {
			return t.Range.Start, true
		}
	}
	return hcl.Pos{}, false
}
