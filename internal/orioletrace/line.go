// Package orioletrace reconstructs from the logs of any number of gateways what
// happened to a request, and why.
package orioletrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
)

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Line is one line of a gateway's log.
type Line struct {
	Time time.Time
	// Clock is the gateway's logical clock.
	Clock uint64
	VM    string
	// ID is the ID of the request that the line is about, or empty.
	ID      string
	Message string
	// Fields holds the other fields as text.
	Fields map[string]string
}

// String formats the line for display.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %8d  %-20s  %-28s", l.Time.Format("15:04:05.000"), l.Clock, l.VM, l.Message)
	if l.ID != "" {
		fmt.Fprintf(&b, " id=%s", l.ID)
	}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	return b.String()
}

// Uint returns the value of an integer field, or 0 if it is missing or not an
// integer.
func (l Line) Uint(name string) uint64 {
	n, err := strconv.ParseUint(l.Fields[name], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Duration returns the value of a duration field, or 0 if it is missing or not a
// duration.
func (l Line) Duration(name string) time.Duration {
	duration, err := time.ParseDuration(l.Fields[name])
	if err != nil {
		return 0
	}
	return duration
}

// Read returns the lines of a log. It skips and counts lines that no gateway wrote,
// since log files often mix the output of several programs.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	defer func() { err = errors.Wrap(err, "reading a log") }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// parseLine decodes the JSON object that starts at the first brace of a line. Log
// collectors often put a prefix before it.
func parseLine(data []byte) (l Line, ok bool) {
	start := slices.Index(data, '{')
	if start < 0 {
		return l, false
	}
	var entry struct {
		Fields    map[string]json.RawMessage `json:"fields"`
		Timestamp time.Time                  `json:"timestamp"`
		Message   string                     `json:"message"`
	}
	if err := json.Unmarshal(data[start:], &entry); err != nil || entry.Message == "" {
		return l, false
	}
	l = Line{Time: entry.Timestamp, Message: entry.Message, Fields: make(map[string]string, len(entry.Fields))}
	for name, raw := range entry.Fields {
		l.Fields[name] = fieldText(raw)
	}
	l.Clock = l.Uint(oriolelog.FieldClock)
	l.VM, l.ID = l.Fields[oriolelog.FieldVM], l.Fields[oriolelog.FieldRequestID]
	delete(l.Fields, oriolelog.FieldClock)
	delete(l.Fields, oriolelog.FieldVM)
	delete(l.Fields, oriolelog.FieldRequestID)
	return l, true
}

// fieldText returns a string field's value without quotes, and any other value as
// written.
func fieldText(raw json.RawMessage) string {
	var s string
	if err := json.Unmarshal(raw, &s); err == nil {
		return s
	}
	return string(raw)
}

// Sort sorts lines by logical clock, so that a cause precedes its effects, and
// then by time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
}
