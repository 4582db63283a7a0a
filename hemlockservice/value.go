package hemlockservice

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// literal returns the value of an expression that is written out. Operators, references and functions are refused:
// a reader of the file must see every value in it.
func literal(expression hclsyntax.Expression) (cty.Value, bool) {
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
		// A negative number is an operator to HCL; accepting it gives a message about the range.
		if inner, ok := literal(e.Val); ok && e.Op == hclsyntax.OpNegate && inner.Type() == cty.Number {
			return inner.Negate(), true
		}
	}
	return cty.NilVal, false
}

func readInteger(expression hclsyntax.Expression) (int64, bool) {
	value, ok := literal(expression)
	if !ok || value.Type() != cty.Number {
		return 0, false
	}
	number, accuracy := value.AsBigFloat().Int64()
	return number, accuracy == 0
}

func readText(expression hclsyntax.Expression) (string, bool) {
	value, ok := literal(expression)
	if !ok || value.Type() != cty.String {
		return "", false
	}
	return value.AsString(), true
}

func integer(into *int64) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		number, ok := readInteger(e)
		if !ok {
			return "has to be a whole number"
		}
		*into = number
		return ""
	}
}

func integers(into *[]int64) func(hclsyntax.Expression) string {
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

func text(into *string) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		value, ok := readText(e)
		if !ok {
			return "has to be a quoted text"
		}
		*into = value
		return ""
	}
}

func durationValue(into *duration) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		value, _ := readText(e)
		parsed, ok := parseDuration(value)
		if !ok {
			return `has to be a quoted whole duration with a unit of ms, s, m or h, such as "3s"`
		}
		*into = duration(parsed.Truncate(time.Millisecond))
		return ""
	}
}

func sizeValue(into *size) func(hclsyntax.Expression) string {
	return func(e hclsyntax.Expression) string {
		value, _ := readText(e)
		parsed, ok := parseSize(value)
		if !ok {
			return `has to be a quoted whole size with a unit of B, KiB, MiB or GiB, such as "64KiB"`
		}
		*into = size(parsed)
		return ""
	}
}
