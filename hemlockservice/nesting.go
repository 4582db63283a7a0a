package hemlockservice

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// maxNestingDepth limits how deeply brackets, templates and operators are nested. A valid file has at most 4 levels.
// The HCL parser recurses at each level, and the process ends when its stack is exhausted.
const maxNestingDepth = 32

// findDeepNesting returns the position of the first token that is nested more deeply than maxNestingDepth, and whether
// there is one. It works on the tokens, before the text is parsed.
func findDeepNesting(text []byte, file string) (hcl.Pos, bool) {
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
			// Unary operators and conditionals can be nested without brackets. They are counted for each line, or across
			// lines within parentheses and square brackets, where an expression can continue on the next line.
			operators++
		case hclsyntax.TokenNewline:
			if parentheses <= 0 {
				operators = 0
			}
		}
		if depth > maxNestingDepth || operators > maxNestingDepth {
			return t.Range.Start, true
		}
	}
	return hcl.Pos{}, false
}
