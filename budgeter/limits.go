package budgeter

import (
	"runtime/debug"
	"time"

	"github.com/dotterelrill/dotterelrill/configurer"
)

// maxEmptyBytes bounds the empty lines before a request. net/http accepts up to 4 bytes
// of them after a POST, which some old clients send.
const maxEmptyBytes = 16

// Limits bound what one client may send and how long it may take.
type Limits struct {
	// ConnectionMiB is the memory for the connections of one listener, in MiB; 0 is a
	// part of the memory of the process.
	ConnectionMiB int64
	// HeadBytes and HeadLines bound the head of a request.
	HeadBytes, HeadLines int64
	// HeadTimeout bounds the time from the first byte of a head to its end,
	// IdleTimeout that before the first byte, BodyTimeout that of a body, and
	// AnswerTimeout that for which a client reads nothing of an answer.
	HeadTimeout, IdleTimeout, BodyTimeout, AnswerTimeout time.Duration
	// Objects and Members bound the JSON objects of a body, and the members of its
	// objects and arrays.
	Objects, Members int64
	// SideConnections bounds the connections for each of readiness and metrics.
	SideConnections int64
}

// Set declares the limits.
func (limits *Limits) Set(set *configurer.Set) {
	const section = "Limits"
	set.Int(&limits.ConnectionMiB, 0, 1<<20, configurer.Key{Section: section, Name: "ConnectionMiB", Default: "0", Help: "Memory for the connections to one listener and their requests, in MiB; above it, the connection that holds most is closed. With 0 it is a fifth of the memory of the process, or 20 MiB if that is not known."})
	set.Int(&limits.HeadBytes, 1024, 1<<20, configurer.Key{Section: section, Name: "HeadBytes", Default: "20480", Help: "Maximum size of a request's head, in bytes."})
	set.Int(&limits.HeadLines, 16, 1<<20, configurer.Key{Section: section, Name: "HeadLines", Default: "8192", Help: "Maximum number of lines of a request's head."})
	set.Duration(&limits.HeadTimeout, 100*time.Millisecond, time.Minute, configurer.Key{Section: section, Name: "HeadTimeout", Default: "4s", Help: "Maximum time from the first byte of a request's head to its end."})
	set.Duration(&limits.IdleTimeout, time.Second, time.Hour, configurer.Key{Section: section, Name: "IdleTimeout", Default: "20s", Help: "How long a connection may stay open without a request."})
	set.Duration(&limits.BodyTimeout, 100*time.Millisecond, time.Hour, configurer.Key{Section: section, Name: "BodyTimeout", Default: "30s", Help: "Maximum time for the reading of a request's body."})
	set.Duration(&limits.AnswerTimeout, 100*time.Millisecond, time.Hour, configurer.Key{Section: section, Name: "AnswerTimeout", Default: "10s", Help: "How long a client may read nothing of an answer."})
	set.Int(&limits.Objects, 16, 1<<24, configurer.Key{Section: section, Name: "Objects", Default: "8192", Help: "Maximum number of JSON objects in a request's body."})
	set.Int(&limits.Members, 64, 1<<24, configurer.Key{Section: section, Name: "Members", Default: "262144", Help: "Maximum number of members of JSON objects and arrays in a request's body."})
	set.Int(&limits.SideConnections, 4, 1<<16, configurer.Key{Section: section, Name: "SideConnections", Default: "64", Help: "Maximum number of connections for each of readiness and metrics."})
}

// SetMemory declares the memory of a process and its default.
func SetMemory(set *configurer.Set, memoryMiB *int64, defaultMiB string) {
	set.Int(memoryMiB, 0, 1<<24, configurer.Key{Section: "Limits", Name: "MemoryMiB", Default: defaultMiB, Help: "Memory that the process may use, in MiB; garbage is collected more often as the heap nears a part of it. With 0, no limit is known."})
}

// DefaultLimits returns the limits of a process without settings for them.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes: 20480, HeadLines: 8192, HeadTimeout: 4 * time.Second, IdleTimeout: 20 * time.Second,
		BodyTimeout: 30 * time.Second, AnswerTimeout: 10 * time.Second, Objects: 8192, Members: 262144, SideConnections: 64,
	}
}

const bytesPerMiB int64 = 1 << 20

const (
	// connectionDivisor is the part of the memory of a process that its connections
	// get. What they hold and the garbage that they leave then stay below the limit
	// that LimitMemory sets.
	connectionDivisor = 5
	// unknownMiB is the memory of connections if that of the process is not known. With
	// the garbage that they leave it fits the smallest VM twice.
	unknownMiB = 20
	// sideMiB is the memory of connections for each of readiness and metrics.
	sideMiB = 2
)

// bodyMultiple is how many times the largest body a budget must hold, so that one
// request of that size is served when there is no other: the body, the buffer that it
// grows from, and what it is decoded to.
const bodyMultiple = 4

// Bytes returns the memory of the connections of one listener with bodies of up to
// bodyBytes, in a process with memoryMiB, or 0 if that is not known.
func (limits *Limits) Bytes(memoryMiB, bodyBytes int64) int64 {
	bytes := limits.ConnectionMiB * bytesPerMiB
	if bytes == 0 {
		bytes = unknownMiB * bytesPerMiB
		if memoryMiB > 0 {
			bytes = memoryMiB * bytesPerMiB / connectionDivisor
		}
	}
	return max(bytes, bodyMultiple*bodyBytes)
}

// Check returns the faults of the limits in a process with memoryMiB, or 0 if that is
// not known, that reads bodies of up to bodyBytes.
func (limits *Limits) Check(memoryMiB, bodyBytes int64) []configurer.Fault {
	if limits.ConnectionMiB == 0 {
		return nil
	}
	if limits.ConnectionMiB*bytesPerMiB < bodyMultiple*bodyBytes {
		return []configurer.Fault{{Section: "Limits", Key: "ConnectionMiB", Problem: "too little for one request of the largest size", Allowed: "at least 4 times the largest body"}}
	}
	if memoryMiB > 0 && limits.ConnectionMiB > memoryMiB/2 {
		return []configurer.Fault{{Section: "Limits", Key: "ConnectionMiB", Problem: "more than half of the memory of the process", Allowed: "at most half of MemoryMiB"}}
	}
	return nil
}

// Connections returns how many connections a budget of the given bytes carries, at most
// limit: open connections take half of it, so that the other half is left for requests.
func Connections(bytes int64, limit int) int {
	return max(min(limit, int(bytes/2/connectionBytes)), 1)
}

// memoryPercent is the part of a process's memory that Go's heap may take without its
// garbage being collected more often. The rest is for the program's own pages, for what
// the kernel keeps, and for the other process of the same VM.
const memoryPercent = 40

// LimitMemory sets Go's memory limit from that of the process, unless that is 0.
func LimitMemory(memoryMiB int64) {
	if memoryMiB > 0 {
		debug.SetMemoryLimit(memoryMiB * bytesPerMiB * memoryPercent / 100)
	}
}
