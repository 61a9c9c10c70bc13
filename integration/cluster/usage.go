package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick   = 10 * time.Millisecond // unit of the times in /proc/PID/stat
	statUser    = 11                    // index among the fields after the command's name
	statSystem  = 12
	statmMemory = 1
)

// Usage is the CPU time and the memory that a process uses.
type Usage struct {
	// CPUTime is the sum of user and system time since the start.
	CPUTime time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Usage returns the usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[statUser], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	system, err := strconv.ParseInt(fields[statSystem], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[statmMemory], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPUTime:  time.Duration(user+system) * clockTick,
		Resident: pages * int64(os.Getpagesize()),
	}, nil
}

// Descriptors returns the number of open file descriptors of the process.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries), err
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.command.Process.Pid }
