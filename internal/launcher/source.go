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

// Outside is the name of whoever is no process of the fleet.
const Outside forwarder.Name = "outside"

// Reach returns where the process of that name has to listen so that others
// reach it at the address: there itself, or behind a forwarder.
func (fleet *Fleet) Reach(name, address string) (string, error) {
	if fleet.config.Network == nil {
		return address, nil
	}
	listen, err := FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return listen[0], fleet.Forward(name, address, listen[0])
}

// Forward lets others reach the process of that name at an address, through the
// network, while it listens at another.
func (fleet *Fleet) Forward(name, address, listen string) error {
	started, err := forwarder.Start(forwarder.Config{
		Network: fleet.config.Network,
		Listen:  address,
		Target:  listen,
		To:      forwarder.Name(name),
		Source:  fleet.source,
	})
	if err == nil {
		fleet.forwarders = append(fleet.forwarders, started)
	}
	return err
}

// source finds out which process made a connection, from the kernel's table of
// sockets.
func (fleet *Fleet) source(remote, local net.Addr) forwarder.Name {
	inode := socketInode(remote, local)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, process := range fleet.started {
		if holdsSocket(process.pid.Load(), inode) {
			return forwarder.Name(process.Name)
		}
	}
	return Outside
}

// Columns of the kernel's table.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
)

// The table may lack a line when it changes while it is read.
const (
	tableTries = 20
	tablePause = 2 * time.Millisecond
)

// socketInode returns the inode of the socket that made a connection. Both
// addresses count, since sockets towards different ports may share one of their
// own.
func socketInode(remote, local net.Addr) string {
	for range tableTries {
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
		time.Sleep(tablePause)
	}
	return ""
}

// tableAddress spells an IPv4 address as the table does, last byte first.
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
