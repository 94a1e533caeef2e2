package daemon

import (
	"cmp"
	"errors"
	"runtime/debug"
	"syscall"

	"plumbarrow.example/plumbarrow/intake"
)

const (
	// memoryLimitShare is the Go runtime's soft memory limit as a share of the process's memory. The rest is left for
	// memory that the kernel holds for the process.
	memoryLimitShare = 0.6
	// callersMemoryShare is the share of the process's memory for what callers make it hold. The rest is for its own state, for garbage
	// until the next collection, and for the kernel.
	callersMemoryShare = 0.25
	// unboundedCallersMB is the memory for callers in megabytes where the process's memory is not bounded.
	unboundedCallersMB = 256
	// callersDescriptorShare is the share of the descriptors for callers' connections. A request in service needs one more, towards its
	// endpoint.
	callersDescriptorShare = 0.45
	// assumedDescriptors is the number of descriptors where the process's limit cannot be read: the usual limit.
	assumedDescriptors = 1024
	// maxDescriptors bounds the number of descriptors where the process has no limit.
	maxDescriptors = 1 << 20
)

// callerSettings are the settings that bound what callers make the process hold. 0 stands for the default.
type callerSettings struct {
	memoryMB, maxDescriptors, callersMemoryMB, callersConnections int
}

func (s Settings) callers() callerSettings {
	return callerSettings{s.MemoryMB, s.MaxDescriptors, s.CallersMemoryMB, s.CallersConnections}
}

func (s GatewaySettings) callers() callerSettings {
	return callerSettings{s.MemoryMB, s.MaxDescriptors, s.CallersMemoryMB, s.CallersConnections}
}

// limits returns the limits with the defaults filled in.
func (s callerSettings) limits() intake.Limits {
	byMemory := int64(callersMemoryShare * float64(s.memoryMB<<20))
	descriptors := cmp.Or(s.maxDescriptors, descriptorLimit())
	return intake.Limits{
		Bytes:       cmp.Or(int64(s.callersMemoryMB)<<20, byMemory, unboundedCallersMB<<20),
		Connections: cmp.Or(s.callersConnections, max(int(callersDescriptorShare*float64(descriptors)), 1)),
	}
}

func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// validate returns the first setting that is out of range as an error in the form "field: problem".
func (s callerSettings) validate() error {
	switch {
	case s.memoryMB < 0:
		return errors.New("memory_mb: must not be negative")
	case s.maxDescriptors < 0:
		return errors.New("max_descriptors: must not be negative")
	case s.callersMemoryMB < 0:
		return errors.New("callers_memory_mb: must not be negative")
	case s.memoryMB > 0 && s.callersMemoryMB >= s.memoryMB:
		return errors.New("callers_memory_mb: must be below memory_mb")
	case s.callersConnections < 0:
		return errors.New("callers_connections: must not be negative")
	}
	return nil
}

// setMemoryLimit makes the garbage collector keep the whole process within its memory, as far as what is in use allows.
func setMemoryLimit(memoryMB int) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB<<20)))
}
