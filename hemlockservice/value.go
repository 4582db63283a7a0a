package hemlockservice

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// literalValue returns the value of a literal. It returns false for other expressions, with operators, references or
// functions: the file has to show every value as it is.
func literalValue(expression hclsyntax.Expression) (cty.Value, bool) {
	switch e := expression.(type) {
	case *hclsyntax.LiteralValueExpr:
		return e.Val, !e.Val.IsNull()
	case *hclsyntax.TemplateExpr:
		if !e.IsStringLiteral() {
			return cty.NilVal, false
		}
		value, diagnostics := e.Value(nil)
		return value, !diagnostics.HasErrors()
	case *hclsyntax.UnaryOpExpr:
		// HCL parses a negative number as an operator. It is accepted here, so that the problem is about its range.
		if inner, ok := literalValue(e.Val); ok && e.Op == hclsyntax.OpNegate && inner.Type() == cty.Number {
			return inner.Negate(), true
		}
	}
	return cty.NilVal, false
}

func readInteger(expression hclsyntax.Expression) (int64, bool) {
	value, ok := literalValue(expression)
	if !ok || value.Type() != cty.Number {
		return 0, false
	}
	number, accuracy := value.AsBigFloat().Int64()
	return number, accuracy == 0
}

func readString(expression hclsyntax.Expression) (string, bool) {
	value, ok := literalValue(expression)
	if !ok || value.Type() != cty.String {
		return "", false
	}
	return value.AsString(), true
}

func setInteger(into *int64) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		number, ok := readInteger(e)
		if !ok {
			return "has to be a whole number"
		}
		*into = number
		return ""
	}
}

func setIntegers(into *[]int64) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		list, ok := e.(*hclsyntax.TupleConsExpr)
		if !ok {
			return "has to be a list of whole numbers"
		}
		for _, inner := range list.Exprs {
			number, ok := readInteger(inner)
			if !ok {
				return "has to be a list of whole numbers"
			}
			*into = append(*into, number)
		}
		return ""
	}
}

func setString(into *string) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		value, ok := readString(e)
		if !ok {
			return "has to be a quoted string"
		}
		*into = value
		return ""
	}
}

func setDuration(into *duration) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		value, _ := readString(e)
		parsed, ok := parseDuration(value)
		if !ok {
			return `has to be a quoted whole duration with a unit of ms, s, m or h, such as "3s"`
		}
		*into = duration(parsed.Truncate(time.Millisecond))
		return ""
	}
}

func setSize(into *size) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		value, _ := readString(e)
		parsed, ok := parseSize(value)
		if !ok {
			return `has to be a quoted whole size with a unit of B, KiB, MiB or GiB, such as "64KiB"`
		}
		*into = size(parsed)
		return ""
	}
}
