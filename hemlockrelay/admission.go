package hemlockrelay

// Admission says what decides on the admission of new call trees.
type Admission string

const (
	// BusiestService means that the load of the busiest service decides, whether or not the call tree calls it. It is the default.
	BusiestService Admission = "busiest-service"
	// CallTrees means that the services decide that the call tree calls.
	CallTrees Admission = "call-trees"
)

// ParseAdmission returns the admission with the given name, or false if there is none.
func ParseAdmission(name string) (Admission, bool) {
	a := Admission(name)
	return a, a == BusiestService || a == CallTrees
}
