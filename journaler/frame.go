package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// A frame consists of a marker, the length of the payload, a checksum and the
// payload. The marker lets a reader search for intact frames after a damaged
// one, which distinguishes a torn tail from corruption in the middle. The
// checksum covers a random salt of the segment and then the payload, so that
// no bytes that a caller puts into a payload can be mistaken for a frame.
const (
	frameHeaderBytes = 12
	maxFrameBytes    = 1 << 30
)

// salt is the first input to the checksum of every frame in a segment.
type salt uint64

// noSalt is the salt of snapshots and of the history floor, which are files of
// one frame each.
const noSalt salt = 0

var (
	frameMarker = [4]byte{0xD0, 0x77, 0xE2, 0x1F}
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// Errors of reading and writing frames.
var (
	errTorn     = eris.New("the frame is truncated or does not match its checksum")
	errCorrupt  = eris.New("a damaged frame is followed by intact ones")
	errTooLarge = eris.New("the record exceeds the largest frame that can be read back")
)

func (salt salt) checksum(payload []byte) uint32 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], uint64(salt))
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, payload)
}

func (salt salt) appendFrame(buffer, payload []byte) ([]byte, error) {
	if len(payload) > maxFrameBytes {
		return nil, eris.Wrapf(errTooLarge, "%d bytes", len(payload))
	}
	buffer = append(buffer, frameMarker[:]...)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, salt.checksum(payload))
	return append(buffer, payload...), nil
}

// readFrame returns the payload of the frame at the start of data, and the
// number of bytes that the frame occupies.
func (salt salt) readFrame(data []byte) ([]byte, int, error) {
	if len(data) < frameHeaderBytes || !bytes.HasPrefix(data, frameMarker[:]) {
		return nil, 0, errTorn
	}
	length := int64(binary.BigEndian.Uint32(data[4:]))
	if length > maxFrameBytes || length > int64(len(data)-frameHeaderBytes) {
		return nil, 0, errTorn
	}
	payload := data[frameHeaderBytes : frameHeaderBytes+length]
	if salt.checksum(payload) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, errTorn
	}
	return payload, frameHeaderBytes + int(length), nil
}

// containsIntactFrame reports whether an intact frame begins anywhere in data.
func (salt salt) containsIntactFrame(data []byte) bool {
	for {
		offset := bytes.Index(data, frameMarker[:])
		if offset < 0 {
			return false
		}
		if _, _, err := salt.readFrame(data[offset:]); err == nil {
			return true
		}
		data = data[offset+1:]
	}
}

// readFrames calls visit with the payload of each intact frame. It returns the
// number of bytes that these frames occupy, and errTorn or errCorrupt if bytes
// remain.
func (salt salt) readFrames(data []byte, visit func(payload []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, size, err := salt.readFrame(data[offset:])
		if err != nil {
			if salt.containsIntactFrame(data[offset+1:]) {
				return offset, errCorrupt
			}
			return offset, errTorn
		}
		if err := visit(payload); err != nil {
			return offset, err
		}
		offset += size
	}
	return offset, nil
}

// The preamble of a segment is a magic number, the segment's salt, and a
// checksum of both.
const preambleBytes = 16

var segmentMagic = [4]byte{0xD0, 0x77, 0x5E, 0x67}

func (salt salt) preamble() []byte {
	preamble := binary.BigEndian.AppendUint64(segmentMagic[:], uint64(salt))
	return binary.BigEndian.AppendUint32(preamble, crc32.Checksum(preamble, castagnoli))
}

// readPreamble returns a segment's salt. It returns errTorn for a file that is
// shorter than the preamble or contains only zeros, as an interrupted write
// leaves it. Any other mismatch is damage.
func readPreamble(data []byte) (salt, error) {
	if len(data) < preambleBytes || len(bytes.Trim(data, "\x00")) == 0 {
		return 0, errTorn
	}
	checked := data[:preambleBytes-4]
	if !bytes.HasPrefix(checked, segmentMagic[:]) || crc32.Checksum(checked, castagnoli) != binary.BigEndian.Uint32(data[preambleBytes-4:]) {
		return 0, eris.New("byte 0: the preamble is damaged")
	}
	return salt(binary.BigEndian.Uint64(checked[4:])), nil
}
