//go:build !race

package zone_test

func init() { trafficSizes = append(trafficSizes, trafficSize{17, 24, endpointsPerZone}) }
