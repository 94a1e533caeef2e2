// Package e2e holds end-to-end tests, which run the product as separate processes and kill, freeze and stop
// these. They need Linux and the go command.
package e2e
