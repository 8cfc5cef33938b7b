package oriole

import (
	"crypto/sha256"
	"fmt"
	"strconv"
)

// KeyDigest is the SHA-256 digest of an API key. Gateways keep and send digests only, so
// that no log line, trace or message holds a key. The zero digest means that there is no
// key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Secret is an API key in plain text. It formats as a placeholder.
type Secret string

const redacted = "[redacted]"

// MarshalText implements encoding.TextMarshaler, so that JSON has the placeholder too.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return redacted }

// Workspace is a customer whose callers share API keys, a priority and a rate limit.
type Workspace struct {
	Name WorkspaceName
	// Keys are the digests of the API keys of the workspace's callers.
	Keys []KeyDigest
	// Secrets are the API keys themselves. They are set only in a configuration that an
	// operator is about to write.
	Secrets []Secret
	// Priority goes before that of routes; 0 is the highest.
	Priority int
	// Rate is the number of requests per second, and Burst the number of requests beyond
	// it, that all gateways together pass on for the workspace. A rate of 0 means that
	// there is no limit.
	Rate  float64
	Burst float64
}

// WorkspaceField is a field of a [Workspace].
type WorkspaceField int

// The fields that [CheckWorkspaces] checks.
const (
	WorkspaceFieldName WorkspaceField = iota
	WorkspaceFieldKeys
	WorkspaceFieldPriority
	WorkspaceFieldRate
	WorkspaceFieldBurst
)

// WorkspaceError tells which field of a list of workspaces is invalid. It never contains
// a key. Each format has its own names for the fields.
type WorkspaceError struct {
	// Index is the position of the workspace in the list, and Name its name.
	Index int
	Name  WorkspaceName
	Field WorkspaceField
	// Key is the position of the key if the field is WorkspaceFieldKeys.
	Key     int
	Problem string
}

// Error implements the error interface.
func (e *WorkspaceError) Error() string {
	field := [...]string{"name", "key " + strconv.Itoa(e.Key), "priority", "rate", "burst"}[e.Field]
	return fmt.Sprintf("workspace %d (%q): %s %s", e.Index, e.Name, field, e.Problem)
}

// CheckWorkspaces returns a [WorkspaceError] if a name or key is empty, several workspaces
// have the same name or key, or a number is negative.
func CheckWorkspaces(workspaces []Workspace) *WorkspaceError {
	names := make(map[WorkspaceName]bool, len(workspaces))
	owners := make(map[KeyDigest]WorkspaceName)
	empty := DigestKey("")
	for i, w := range workspaces {
		problem := func(field WorkspaceField, key int, text string) *WorkspaceError {
			return &WorkspaceError{Index: i, Name: w.Name, Field: field, Key: key, Problem: text}
		}
		switch {
		case w.Name == "":
			return problem(WorkspaceFieldName, 0, "is empty")
		case names[w.Name]:
			return problem(WorkspaceFieldName, 0, "is repeated")
		case w.Priority < 0:
			return problem(WorkspaceFieldPriority, 0, "is negative")
		case !(w.Rate >= 0):
			return problem(WorkspaceFieldRate, 0, "is negative")
		case !(w.Burst >= 0):
			return problem(WorkspaceFieldBurst, 0, "is negative")
		}
		names[w.Name] = true
		for n, key := range w.Keys {
			if key == empty {
				return problem(WorkspaceFieldKeys, n, "is empty")
			}
			if owner, taken := owners[key]; taken && owner != w.Name {
				return problem(WorkspaceFieldKeys, n, fmt.Sprintf("belongs to workspace %q as well", owner))
			}
			owners[key] = w.Name
		}
	}
	return nil
}
