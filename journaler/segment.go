package journaler

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/encoder"
)

const (
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
)

func segmentPath(folder string, sequence uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%016d%s", sequence, segmentSuffix))
}

// Segments returns the paths of a folder's segments, oldest first.
func Segments(folder string) ([]string, error) {
	return filesWithSuffix(folder, segmentSuffix)
}

func filesWithSuffix(folder, suffix string) ([]string, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", folder)
	}
	var paths []string
	for _, file := range files {
		if strings.HasSuffix(file.Name(), suffix) {
			paths = append(paths, filepath.Join(folder, file.Name()))
		}
	}
	slices.Sort(paths)
	return paths, nil
}

// segmentSequence returns the sequence number in a segment's file name.
func segmentSequence(path string) (uint64, error) {
	var sequence uint64
	if _, err := fmt.Sscanf(strings.TrimSuffix(filepath.Base(path), segmentSuffix), "%d", &sequence); err != nil {
		return 0, eris.Wrapf(err, "segment name %s", path)
	}
	return sequence, nil
}

func nextSequence(folder string) (uint64, error) {
	paths, err := Segments(folder)
	if err != nil || len(paths) == 0 {
		return 1, err
	}
	sequence, err := segmentSequence(paths[len(paths)-1])
	return sequence + 1, err
}

// segment describes a segment by its file and its header.
type segment struct {
	path       string
	sequence   uint64
	header     Header
	size       int64
	modifiedAt time.Time
}

// listSegments reads the headers of a folder's segments. A last segment whose
// header is torn is left out: nothing was saved in it.
func listSegments(folder string) ([]segment, error) {
	paths, err := Segments(folder)
	if err != nil {
		return nil, err
	}
	var segments []segment
	for i, path := range paths {
		found, err := readSegmentHeader(path)
		if errors.Is(err, os.ErrNotExist) && len(segments) == 0 {
			// Retention removed the segment while the folder was being read.
			continue
		}
		if errors.Is(err, errTorn) && i == len(paths)-1 {
			if err = checkIncompleteHeader(path); err == nil {
				break
			}
		}
		if err != nil {
			return nil, eris.Wrapf(err, "segment %s", path)
		}
		if count := len(segments); count > 0 && found.sequence != segments[count-1].sequence+1 {
			return nil, eris.Errorf("segments %d to %d of %s are missing", segments[count-1].sequence+1, found.sequence-1, folder)
		}
		segments = append(segments, found)
	}
	return segments, nil
}

// checkIncompleteHeader returns nil if a segment ends within its header. If
// intact frames follow, the header was damaged after it was written.
func checkIncompleteHeader(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	_, size, err := ReadSegment(data, func(Batch) error { return nil })
	if size == 0 && errors.Is(err, errTorn) {
		return nil
	}
	return eris.Wrap(err, "byte 0")
}

// maxHeaderBytes is larger than any preamble and header together.
const maxHeaderBytes = 16 << 10

func readSegmentHeader(path string) (segment, error) {
	sequence, err := segmentSequence(path)
	if err != nil {
		return segment{}, err
	}
	file, err := os.Open(path)
	if err != nil {
		return segment{}, eris.Wrap(err, "open")
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return segment{}, eris.Wrap(err, "get file information")
	}
	data, err := io.ReadAll(io.LimitReader(file, maxHeaderBytes))
	if err != nil {
		return segment{}, eris.Wrap(err, "read header")
	}
	found := segment{path: path, sequence: sequence, size: info.Size(), modifiedAt: info.ModTime()}
	salt, err := readPreamble(data)
	if err != nil {
		return segment{}, err
	}
	payload, _, err := salt.readFrame(data[preambleBytes:])
	if err != nil {
		return segment{}, eris.Wrapf(err, "byte %d", preambleBytes)
	}
	return found, readHeader(payload, &found.header)
}

// firstNeededSegment returns the position of the last segment at whose start
// the log ended at or before the index, or -1 if there is none. Segments before
// it are not needed to read the entries after the index.
func firstNeededSegment(segments []segment, index uint64) int {
	for i := len(segments) - 1; i >= 0; i-- {
		if segments[i].header.NextIndex <= index+1 {
			return i
		}
	}
	return -1
}

// ReadSegment calls visit with each batch of a segment's content. It returns
// the segment's header, the number of bytes in intact frames, and an error if
// the rest cannot be read.
func ReadSegment(data []byte, visit func(Batch) error) (Header, int, error) {
	var header Header
	salt, err := readPreamble(data)
	if err != nil {
		return header, 0, err
	}
	first := true
	size, err := salt.readFrames(data[preambleBytes:], func(payload []byte) error {
		if first {
			first = false
			return readHeader(payload, &header)
		}
		var batch Batch
		if err := encoder.Unmarshal(payload, &batch); err != nil {
			return err
		}
		return visit(batch)
	})
	if first && err == nil {
		err = errTorn
	}
	if size == 0 {
		return header, 0, err
	}
	return header, preambleBytes + size, err
}

func readHeader(payload []byte, header *Header) error {
	if err := encoder.Unmarshal(payload, header); err != nil {
		return err
	}
	if header.Format != Format {
		return eris.Errorf("format %d; this release reads format %d", header.Format, Format)
	}
	return nil
}
