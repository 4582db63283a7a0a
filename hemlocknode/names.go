package hemlocknode

import (
	"slices"
	"strconv"
)

const longestName = 63

func isName(name string) bool {
	if name == "" || len(name) > longestName {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

func contains(values []string, value string) bool {
	return slices.Contains(values, value)
}

func formatBytes(count int64) string {
	return strconv.FormatInt(count, 10)
}
