package launcher

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/forwarder"
)

// Outside names the source of connections that no process of the fleet opened.
const Outside forwarder.ProcessName = "outside"

// ListenAddress returns the address on which the named process has to listen so
// that others reach it at address: the address itself without a Network, otherwise a
// new one behind a forwarder.
func (fleet *Fleet) ListenAddress(name, address string) (string, error) {
	if fleet.config.Network == nil {
		return address, nil
	}
	listen, err := FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return listen[0], fleet.Forward(name, address, listen[0])
}

// Forward starts a forwarder through the Network from address to listen, where
// the named process listens.
func (fleet *Fleet) Forward(name, address, listen string) error {
	started, err := forwarder.Start(forwarder.Config{
		Network: fleet.config.Network,
		Listen:  address,
		Target:  listen,
		To:      forwarder.ProcessName(name),
		Source:  fleet.connectionOwner,
	})
	if err == nil {
		fleet.forwarders = append(fleet.forwarders, started)
	}
	return err
}

// connectionOwner returns the name of the process that opened a connection,
// found in the kernel's table of sockets, or Outside.
func (fleet *Fleet) connectionOwner(remote, local net.Addr) forwarder.ProcessName {
	inode := socketInode(remote, local)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, process := range fleet.processes {
		if holdsSocket(process.pid.Load(), inode) {
			return forwarder.ProcessName(process.Name)
		}
	}
	return Outside
}

// Columns of /proc/net/tcp.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
)

// The lookup is repeated because a table that changes while it is read may lack
// a line.
const (
	maxTableReads  = 20
	tableReadDelay = 2 * time.Millisecond
)

// socketInode returns the inode of the socket that opened a connection, or an
// empty string. It compares both addresses, since sockets connected to different
// ports may share a local port.
func socketInode(remote, local net.Addr) string {
	for range maxTableReads {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return ""
		}
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			if len(fields) > inodeColumn && fields[localColumn] == tableAddress(remote) && fields[remoteColumn] == tableAddress(local) {
				return fields[inodeColumn]
			}
		}
		time.Sleep(tableReadDelay)
	}
	return ""
}

// tableAddress formats an IPv4 address as in /proc/net/tcp: hexadecimal, last
// byte first. It returns an empty string for any other address.
func tableAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

func holdsSocket(pid int64, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	descriptors, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, descriptor := range descriptors {
		target, err := os.Readlink(filepath.Join(folder, descriptor.Name()))
		if err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
