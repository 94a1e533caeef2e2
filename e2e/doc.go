// Package e2e proves the product as separate processes, which its tests kill, freeze and stop. It
// holds nothing but tests.
package e2e
