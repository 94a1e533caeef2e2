//go:build !race

package quarantine

func init() { storedFleetSizes = append(storedFleetSizes, 300) }
