//go:build !cgo

package app

// restoreHangup does nothing: without cgo SIGHUP keeps its meaning until the router registers its handler.
func restoreHangup() {}
